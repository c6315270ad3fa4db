package dispatch

import (
	"context"
	"io"
	"net/http"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// Protocol is how a deployment's callers ask and are answered, and how requests
// go to its targets. Package wire has the product's own, the OpenAI API.
type Protocol interface {
	// Caller reads what the header of a request says of its caller.
	Caller(h http.Header) Caller
	// Completion reads the body of a request to a model; an error is the caller's fault.
	Completion(body []byte, chat bool) (Completion, error)
	// Call sends an attempt of a call to a plain service. An error wraps
	// [transport.ErrUnsent] if no byte of it left.
	Call(ctx context.Context, a route.Attempt, c ServiceCall) (*Reply, error)
	// ServiceAnswer writes a service's whole answer to the caller.
	ServiceAnswer(w http.ResponseWriter, a ServiceAnswer)
	// Models lists the models that callers may name.
	Models(w http.ResponseWriter, models []policy.Model)
	// Refuse writes a refusal of which nothing has left yet.
	Refuse(w http.ResponseWriter, f route.Refusal)
	// Fault tells a caller that its request is wrong in itself and was not forwarded.
	Fault(w http.ResponseWriter, status int, code, message string)
	// Sweep closes idle connections to targets whose time is over, Close all of them.
	Sweep()
	Close()
}

// Caller is what the header of a request says of its caller; each field is empty where it says nothing.
type Caller struct {
	// Key is the caller's API key.
	Key string
	// Labels are the request's labels, as in "channel=kiosk,flow=rebook".
	Labels string
	// CallKey names a call that may run at most once, the same for all its repeats.
	CallKey string
}

// CompletionParams is what a caller asks of a model.
type CompletionParams struct {
	Model string
	// Stream says that the caller wants the answer as a stream.
	Stream    bool
	MaxTokens int
	// Text is the prompt as one text, Bounds the offsets in it where messages end.
	Text   []byte
	Bounds []int
	// Plain says that the answer is one text, so that a broken one can be resumed.
	SingleText bool
}

// Completion is a caller's request to a model that was read.
type Completion interface {
	// Ask returns what the caller asks for.
	Ask() CompletionParams
	// Send sends an attempt. An error wraps [transport.ErrUnsent] if no byte of it left.
	Send(ctx context.Context, a route.Attempt, s SendOptions) (*Reply, error)
	// Answer returns the writer of the caller's answer; request is the request's id.
	Answer(w http.ResponseWriter, request string) Answer
}

// SendOptions is what a router adds to a request on its way to an engine.
type SendOptions struct {
	Priority int
	Stream   bool
	// Resume says that the answer goes on after Text, which was delivered in Tokens chunks.
	Resume bool
	Text   string
	Tokens int
}

// Answer writes a completion's answer to its caller.
type Answer interface {
	// Chunk passes one chunk on, or keeps it for a caller that wants one body.
	Chunk(c route.Chunk) error
	// End ends an answer that is whole.
	End(u *route.Usage) error
	// Whole passes on an answer that came as one body; it fails if the body is none.
	Whole(body []byte) error
	// Fail gives the caller the final error. After part of a stream has left it
	// panics with [http.ErrAbortHandler], so that nobody takes that part for the whole.
	Fail(f route.Refusal)
}

// Reply is the head of a target's answer. Body must be closed.
type Reply struct {
	Status int
	// Incarnation, Weights and Attempt are what the target says that it is and what
	// it answers; each is empty where it says nothing.
	Incarnation route.Incarnation
	Weights     string
	Attempt     string
	// NotRun says that the target did not run the request, by its own word.
	NotRun bool
	// Said is what the target says of itself.
	Reported    route.TargetHints
	ContentType string
	Body        io.ReadCloser
	// Chunks reads the body as a stream of chunks; at its end without a finish
	// mark it returns [io.ErrUnexpectedEOF].
	Chunks func() (route.Chunk, error)
}

// ServiceCall is a caller's call to a plain service.
type ServiceCall struct {
	Method string
	// Path is the path with the query, as the caller sent it.
	Path   string
	Header http.Header
	Body   []byte
	// Once says that the call may run at most once.
	AtMostOnce bool
}

// ServiceAnswer is a plain service's whole answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed says that it is the recorded answer to an earlier call with the same key.
	Replayed bool
}
