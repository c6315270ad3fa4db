package wire

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"github.com/zeebo/errs/v2"
)

// maxObject is the maximum size of an object that is read, in bytes.
const maxObject = 16 << 20

// S3Objects implements [fleet.Objects] with a bucket of the S3 API.
type S3Objects struct {
	client *s3.Client
	bucket string
}

// NewS3Objects returns a client of the bucket at the endpoint, a base URL.
func NewS3Objects(endpoint, bucket string, cred Credentials) *S3Objects {
	provider, region := cred.provider()
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(endpoint),
		UsePathStyle:               true,
		Region:                     region,
		Credentials:                provider,
		HTTPClient:                 platformClient(),
		Retryer:                    aws.NopRetryer{},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &S3Objects{client: client, bucket: bucket}
}

// Get implements [fleet.Objects].
func (o *S3Objects) Get(ctx context.Context, key string) ([]byte, bool, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &key})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, errs.Errorf("object get: %w", err)
	}
	defer out.Body.Close()
	data, err := io.ReadAll(io.LimitReader(out.Body, maxObject+1))
	if err != nil {
		return nil, false, errs.Errorf("object read: %w", err)
	}
	if len(data) > maxObject {
		return nil, false, errs.Errorf("object %q is larger than %d bytes", key, maxObject)
	}
	return data, true, nil
}

// PutIfAbsent implements [fleet.Objects] with the If-None-Match header.
func (o *S3Objects) PutIfAbsent(ctx context.Context, key string, data []byte) error {
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket:      &o.bucket,
		Key:         &key,
		Body:        bytes.NewReader(data),
		IfNoneMatch: aws.String("*"),
	})
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorCode() == "PreconditionFailed" {
		return nil
	}
	if err != nil {
		return errs.Errorf("object put: %w", err)
	}
	return nil
}

// List implements [fleet.Objects]; it reads all pages.
func (o *S3Objects) List(ctx context.Context, prefix, after string) ([]string, error) {
	var keys []string
	for {
		out, err := o.client.ListObjectsV2(ctx, &s3.ListObjectsV2Input{
			Bucket: &o.bucket, Prefix: &prefix, StartAfter: &after,
		})
		if err != nil {
			return nil, errs.Errorf("object list: %w", err)
		}
		for _, item := range out.Contents {
			keys = append(keys, aws.ToString(item.Key))
		}
		if !aws.ToBool(out.IsTruncated) || len(out.Contents) == 0 {
			return keys, nil
		}
		after = keys[len(keys)-1]
	}
}
