package wire

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/fleet"
)

// Attribute names of the table's items.
const (
	attrPart = "p"
	attrSort = "s"
	attrData = "d"
	attrRev  = "v"
)

// Credentials are an access key of the platform; without one the fixed key for the stand-ins is used.
type Credentials struct {
	AccessKey string
	SecretKey string
	Region    string
}

// standinCredentials are used for the stand-ins, which check no credentials.
var standinCredentials = Credentials{AccessKey: "standin", SecretKey: "standin", Region: "local"}

func (c Credentials) provider() (aws.CredentialsProvider, string) {
	if c.AccessKey == "" {
		c = standinCredentials
	}
	return credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, ""), c.Region
}

// callTimeout bounds a call to the platform; callers may pass shorter deadlines.
const callTimeout = 2 * time.Second

// platformClient returns a client with its own transport, so that a slow platform cannot
// occupy connections to targets.
func platformClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 16
	return &http.Client{Transport: t, Timeout: callTimeout}
}

// DynamoTable implements [fleet.Table] with a table of the DynamoDB API.
type DynamoTable struct {
	client *dynamodb.Client
	name   string
}

// NewDynamoTable returns a client of the named table at the endpoint, a base URL.
func NewDynamoTable(endpoint, name string, cred Credentials) *DynamoTable {
	provider, region := cred.provider()
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(endpoint),
		Region:       region,
		Credentials:  provider,
		HTTPClient:   platformClient(),
		Retryer:      aws.NopRetryer{},
	})
	return &DynamoTable{client: client, name: name}
}

// Get implements [fleet.Table] with a strongly consistent read.
func (t *DynamoTable) Get(ctx context.Context, part, sort string) (fleet.Row, bool, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.name),
		ConsistentRead: aws.Bool(true),
		Key:            itemKey(part, sort),
	})
	if err != nil {
		return fleet.Row{}, false, errs.Errorf("table get: %w", err)
	}
	if len(out.Item) == 0 {
		return fleet.Row{}, false, nil
	}
	row, err := decodeRow(out.Item)
	return row, err == nil, err
}

// Range implements [fleet.Table] with one strongly consistent query.
func (t *DynamoTable) Range(ctx context.Context, part, after string, limit int) ([]fleet.Row, error) {
	in := &dynamodb.QueryInput{
		TableName:              aws.String(t.name),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String("p = :p"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": &types.AttributeValueMemberS{Value: part},
		},
		Limit: aws.Int32(int32(limit)),
	}
	if after != "" {
		in.KeyConditionExpression = aws.String("p = :p AND s > :s")
		in.ExpressionAttributeValues[":s"] = &types.AttributeValueMemberS{Value: after}
	}
	out, err := t.client.Query(ctx, in)
	if err != nil {
		return nil, errs.Errorf("table range: %w", err)
	}
	rows := make([]fleet.Row, 0, len(out.Items))
	for _, item := range out.Items {
		row, err := decodeRow(item)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Commit implements [fleet.Table] with one transaction, which the client request token makes idempotent.
func (t *DynamoTable) Commit(ctx context.Context, token string, writes ...fleet.Write) (int64, error) {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		items = append(items, types.TransactWriteItem{Put: t.put(w)})
	}
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: aws.String(token),
		TransactItems:      items,
	})
	if err == nil {
		return writes[0].If + 1, nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) && conditionFailed(canceled) {
		return 0, fleet.ErrConflict.Wrap(err)
	}
	return 0, errs.Errorf("table commit: %w", err)
}

// put returns the put item of a write. Its condition is that the item does not exist if If is
// zero, and that it has revision If otherwise.
func (t *DynamoTable) put(w fleet.Write) *types.Put {
	item := itemKey(w.Part, w.Sort)
	item[attrData] = &types.AttributeValueMemberB{Value: w.Data}
	item[attrRev] = numberAttr(w.If + 1)
	put := &types.Put{TableName: aws.String(t.name), Item: item}
	if w.If == 0 {
		put.ConditionExpression = aws.String("attribute_not_exists(p)")
		return put
	}
	put.ConditionExpression = aws.String("v = :v")
	put.ExpressionAttributeValues = map[string]types.AttributeValue{":v": numberAttr(w.If)}
	return put
}

func conditionFailed(e *types.TransactionCanceledException) bool {
	for _, r := range e.CancellationReasons {
		if aws.ToString(r.Code) == "ConditionalCheckFailed" {
			return true
		}
	}
	return false
}

func itemKey(part, sort string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPart: &types.AttributeValueMemberS{Value: part},
		attrSort: &types.AttributeValueMemberS{Value: sort},
	}
}

func numberAttr(n int64) *types.AttributeValueMemberN {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func decodeRow(item map[string]types.AttributeValue) (fleet.Row, error) {
	part, ok1 := item[attrPart].(*types.AttributeValueMemberS)
	sort, ok2 := item[attrSort].(*types.AttributeValueMemberS)
	data, ok3 := item[attrData].(*types.AttributeValueMemberB)
	rev, ok4 := item[attrRev].(*types.AttributeValueMemberN)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return fleet.Row{}, errs.Errorf("table item has a missing or mistyped attribute")
	}
	n, err := strconv.ParseInt(rev.Value, 10, 64)
	if err != nil {
		return fleet.Row{}, errs.Errorf("table item revision: %w", err)
	}
	return fleet.Row{Part: part.Value, Sort: sort.Value, Data: data.Value, Rev: n}, nil
}
