// Command drill plays the cases of the review. It runs stand-ins of the platform, starts pathhead-node
// with the command of the deploy file, and checks one rule from what callers and replicas see.
//
// Usage: drill CASE FOLDER. It writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. The environment TROUBLE=0 leaves the disruption out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
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

func main() {
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
