package fleet

import (
	"context"
	"errors"

	"github.com/zeebo/errs/v2"
)

// Row is one row of the table; Rev grows with every write of the row.
type Row struct {
	Part string
	Sort string
	Data []byte
	Rev  int64
}

// Write is a conditional put. It takes effect only if the row's revision is If, where zero means
// that the row must be absent.
type Write struct {
	Part string
	Sort string
	Data []byte
	If   int64
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one row with its newest committed data; ok is false if there is none.
	Get(ctx context.Context, part, sort string) (row Row, ok bool, err error)
	// Range reads at most limit rows of a part whose sort key is greater than after, in order.
	Range(ctx context.Context, part, after string, limit int) ([]Row, error)
	// Commit applies all writes or none and returns the new revision of the first row. It returns
	// an error wrapping ErrConflict if a condition did not hold. After any other error the writes
	// may have taken effect; repeating the call with the same token is safe and gives the result.
	Commit(ctx context.Context, token string, writes ...Write) (rev int64, err error)
}

// Objects is the platform's object store.
type Objects interface {
	// Get reads an object; ok is false if there is none.
	Get(ctx context.Context, key string) (data []byte, ok bool, err error)
	// PutIfAbsent stores an object. It does nothing and returns no error if one with the key
	// exists.
	PutIfAbsent(ctx context.Context, key string, data []byte) error
	// List returns the keys that begin with prefix and are greater than after, in order.
	List(ctx context.Context, prefix, after string) ([]string, error)
}

// ErrConflict means that a write's condition did not hold, so nothing was written.
var ErrConflict = errs.Tag("write conflict")

func isConflict(err error) bool { return errors.Is(err, ErrConflict) }
