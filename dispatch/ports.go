package dispatch

import (
	"context"
	"io"
	"net/http"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// Protocol defines how callers' requests are read and answered, and how requests are sent to
// targets. Package wire has the default implementation, the OpenAI API.
type Protocol interface {
	// Caller reads the caller's details from the headers of a request.
	Caller(h http.Header) Caller
	// Completion parses the body of a request to a model. An error means that the request is
	// invalid.
	Completion(body []byte, chat bool) (Completion, error)
	// Call sends an attempt of a call to a plain service. The error wraps [transport.ErrUnsent] if
	// no byte of it was sent.
	Call(ctx context.Context, a route.Attempt, c ServiceCall) (*Reply, error)
	// ServiceAnswer writes a service's complete answer to the caller.
	ServiceAnswer(w http.ResponseWriter, a ServiceAnswer)
	// Models lists the models that callers may name.
	Models(w http.ResponseWriter, models []policy.Model)
	// Refuse writes a refusal to a caller that has received nothing yet.
	Refuse(w http.ResponseWriter, f route.Refusal)
	// Fault reports to a caller that its request is invalid and was not forwarded.
	Fault(w http.ResponseWriter, status int, code, message string)
	// Sweep closes connections to targets that have been idle for too long; Close closes all of
	// them.
	Sweep()
	Close()
}

// Caller holds the details of a caller from the headers of its request. Fields without a header are
// empty.
type Caller struct {
	// Key is the caller's API key.
	Key string
	// Labels are the request's labels, as in "channel=kiosk,flow=rebook".
	Labels string
	// CallKey identifies an at-most-once call. It is the same for all repeats of the call.
	CallKey string
}

// CompletionParams holds the parameters of a request to a model.
type CompletionParams struct {
	Model string
	// Stream is true if the caller wants the answer as a stream.
	Stream    bool
	MaxTokens int
	// Text is the prompt as one text; Bounds are the offsets in it at which messages end.
	Text   []byte
	Bounds []int
	// SingleText is true if the answer is one text, so that an interrupted one can be resumed.
	SingleText bool
}

// Completion is a parsed request to a model.
type Completion interface {
	// Ask returns the parameters of the request.
	Ask() CompletionParams
	// Send sends an attempt. The error wraps [transport.ErrUnsent] if no byte of it was sent.
	Send(ctx context.Context, a route.Attempt, s SendOptions) (*Reply, error)
	// Answer returns the writer of the caller's answer; request is the id of the request.
	Answer(w http.ResponseWriter, request string) Answer
}

// SendOptions holds what a router adds to a request that it sends to an engine.
type SendOptions struct {
	Priority int
	Stream   bool
	// Resume is true if the answer continues after Text, which was delivered in Tokens chunks.
	Resume bool
	Text   string
	Tokens int
}

// Answer writes a completion's answer to its caller.
type Answer interface {
	// Chunk forwards one chunk, or buffers it for a caller that wants a single body.
	Chunk(c route.Chunk) error
	// End completes an answer.
	End(u *route.Usage) error
	// Whole forwards an answer that arrived as one body. It fails if the body is not a valid
	// answer.
	Whole(body []byte) error
	// Fail sends the caller the final error. After part of a stream was sent it panics with
	// [http.ErrAbortHandler], so that no caller mistakes that part for the complete answer.
	Fail(f route.Refusal)
}

// Reply is the head of a target's answer. Body must be closed.
type Reply struct {
	Status int
	// Incarnation and Weights describe the target, and Attempt names the attempt that it answers,
	// as the target reports them. Each is empty if it does not report it.
	Incarnation route.Incarnation
	Weights     string
	Attempt     string
	// NotRun is true if the target reports that it did not run the request.
	NotRun bool
	// Reported holds the target's hints from the headers of its answer.
	Reported    route.TargetHints
	ContentType string
	Body        io.ReadCloser
	// Chunks reads the body as a stream of chunks. If the body ends without a finish mark it
	// returns [io.ErrUnexpectedEOF].
	Chunks func() (route.Chunk, error)
}

// ServiceCall is a caller's call to a plain service.
type ServiceCall struct {
	Method string
	// Path is the path with the query, as the caller sent it.
	Path   string
	Header http.Header
	Body   []byte
	// AtMostOnce is true if the call must not run more than once.
	AtMostOnce bool
}

// ServiceAnswer is a plain service's complete answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if this is the recorded answer to an earlier call with the same key.
	Replayed bool
}
