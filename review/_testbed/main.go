// Command _testbed plays one case of the review: it starts entries as separate
// processes, serves stand-ins for the store, the runners and the instance control,
// disturbs them, and checks one rule against what clients and runners saw.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not
// be played.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// cases maps the name of a case to the function that plays it. The function returns
// how the rule was broken, or nothing.
var cases = map[string]func(b *bed, trouble bool) ([]string, error){
	"batch": playBatch,
	"late":  playLate,
	"lease": playLease,
	"wave":  playWave,
}

func main() {
	name := flag.String("case", "", "the case to play")
	trouble := flag.Bool("trouble", true, "whether to play the disruption")
	entry := flag.String("entry", "target/banyanrail-entry", "the entry's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *trouble, *entry, *record))
}

func run(name string, trouble bool, entry, recordFile string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	rec, err := newRecorder(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	rec.printf("case %s, trouble %t", name, trouble)
	b, err := newBed(rec, entry)
	if err != nil {
		rec.printf("cannot be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	var violations []string
	played := make(chan struct{})
	go func() {
		defer close(played)
		violations, err = play(b, trouble)
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-played:
		b.close()
	case <-stopped:
		b.close()
		rec.printf("stopped from outside")
		return exitFailed
	case <-time.After(maxTime):
		b.close()
		rec.printf("not finished after %v", maxTime)
		return exitFailed
	}
	if err != nil {
		rec.printf("cannot be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, v := range violations {
		rec.printf("BROKEN %s", v)
		fmt.Println("BROKEN", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// recorder writes the record of a play.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

func (r *recorder) printf(format string, args ...any) { r.printAt(time.Now(), format, args...) }

func (r *recorder) printAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.since(at), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.file.Close() }
