package drill

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// drill is one case. It returns how often the rule was broken.
type drill func(ctx context.Context, s *site) (broken int, err error)

// drills are the cases by name.
var drills = map[string]drill{
	"surplus":   playSurplus,
	"truncated": playTruncated,
	"wall":      playWall,
}

var errUsage = errors.New("usage: drill CASE FOLDER")

// TestMain plays a case if the program is called with one. As a part of the default test run it does
// nothing: the package has no tests.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 || drills[os.Args[1]] == nil {
		os.Exit(m.Run())
	}
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run() (code int, err error) {
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		return exitNotPlayed, errUsage
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return exitNotPlayed, err
	}
	defer record.Close()
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	s, err := newSite(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return exitNotPlayed, err
	}
	defer s.close()
	broken, err := drills[os.Args[1]](ctx, s)
	switch {
	case err != nil:
		s.logf("not played: %v", err)
		return exitNotPlayed, err
	case broken > 0:
		s.logf("RESULT: the rule was broken %d times", broken)
		fmt.Printf("the rule was broken %d times\n", broken)
		return exitBroken, nil
	}
	s.logf("RESULT: the rule held")
	fmt.Println("the rule held")
	return exitHeld, nil
}
