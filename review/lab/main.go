// Command review-lab plays the cases of the second review. It starts the platform's program as separate
// processes on loopback addresses, with stand-ins for the platform's list, servers, clients and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPlayTime is below the 120 s that a case may take.
const maxPlayTime = 115 * time.Second

// cases maps the names of cases to what plays them. Each returns what broke the rule, or "".
var cases = map[string]func(l *lab) (string, error){
	"poison": playPoison,
	"race":   playRace,
	"chain":  playChain,
	"silent": playSilent,
	"torn":   playTorn,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(l *lab) (string, error), folder string) int {
	l, err := newLab(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer l.close()
	// What was started ends with this process, also if that is told to end or takes too long.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxPlayTime):
			l.note("cannot run: it takes too long")
		}
		l.killAll()
		os.Exit(exitNotRun)
	}()
	broken, err := play(l)
	switch {
	case err != nil:
		l.note("cannot run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		l.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	l.note("held")
	fmt.Println("held")
	return exitHeld
}
