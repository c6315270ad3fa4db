package wire_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/standin"
	"github.com/pathhead/pathhead/wire"
)

// TestDynamoTable tests the DynamoDB client over HTTP against the stand-in.
func TestDynamoTable(t *testing.T) {
	server := httptest.NewServer(standin.NewTable(1).Handler())
	defer server.Close()
	table := wire.NewDynamoTable(server.URL, "pathhead", wire.Credentials{})
	ctx := t.Context()

	_, ok, err := table.Get(ctx, "p", "a")
	require.NoError(t, err)
	require.False(t, ok)
	put := func(token, sort, data string, rev int64) error {
		_, err := table.Commit(ctx, token, fleet.Write{Part: "p", Sort: sort, Data: []byte(data), If: rev})
		return err
	}
	require.NoError(t, put("t1", "a", "one", 0))
	require.True(t, errors.Is(put("t2", "a", "two", 0), fleet.ErrConflict), "the row exists")
	require.NoError(t, put("t1", "a", "one", 0), "a repeated token has the same result")
	require.NoError(t, put("t3", "a", "two", 1))
	require.True(t, errors.Is(put("t4", "a", "three", 1), fleet.ErrConflict), "the row has changed")

	_, err = table.Commit(ctx, "t5",
		fleet.Write{Part: "p", Sort: "b", Data: []byte("x")},
		fleet.Write{Part: "p", Sort: "a", Data: []byte("y"), If: 9})
	require.True(t, errors.Is(err, fleet.ErrConflict))
	_, ok, err = table.Get(ctx, "p", "b")
	require.NoError(t, err)
	require.False(t, ok, "a failed commit writes nothing")

	require.NoError(t, put("t6", "c", "", 0))
	rows, err := table.Range(ctx, "p", "", 10)
	require.NoError(t, err)
	require.Equal(t, []fleet.Row{{Part: "p", Sort: "a", Data: []byte("two"), Rev: 2}, {Part: "p", Sort: "c", Data: []byte{}, Rev: 1}}, rows)
	rows, err = table.Range(ctx, "p", "a", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1)

	server.Close()
	err = put("t7", "d", "x", 0)
	require.Error(t, err)
	require.False(t, errors.Is(err, fleet.ErrConflict), "an outage is not a conflict")
}

func TestS3Objects(t *testing.T) {
	server := httptest.NewServer(standin.NewObjects(1).Handler())
	defer server.Close()
	objects := wire.NewS3Objects(server.URL, "bucket", wire.Credentials{})
	ctx := t.Context()

	_, ok, err := objects.Get(ctx, "k/1")
	require.NoError(t, err)
	require.False(t, ok)
	require.NoError(t, objects.PutIfAbsent(ctx, "k/1", []byte("one")))
	require.NoError(t, objects.PutIfAbsent(ctx, "k/1", []byte("two")))
	data, ok, err := objects.Get(ctx, "k/1")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, "one", string(data), "the first object is kept")
	require.NoError(t, objects.PutIfAbsent(ctx, "k/2", nil))
	require.NoError(t, objects.PutIfAbsent(ctx, "l/1", nil))
	keys, err := objects.List(ctx, "k/", "")
	require.NoError(t, err)
	require.Equal(t, []string{"k/1", "k/2"}, keys)
	keys, err = objects.List(ctx, "k/", "k/1")
	require.NoError(t, err)
	require.Equal(t, []string{"k/2"}, keys)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = objects.List(cancelled, "k/", "")
	require.Error(t, err)
}
