package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform/platformtest"
	"github.com/banyanrail/banyanrail/standin"
)

// runnerVariable is the environment variable that makes the test binary a runner.
const runnerVariable = "SOAK_RUNNER"

func TestMain(m *testing.M) {
	if os.Getenv(runnerVariable) == "" {
		os.Exit(m.Run())
	}
	fmt.Fprintln(os.Stderr, serveRunner(os.Stdin, os.Stdout))
	os.Exit(1)
}

// runnerSettings are what a runner process reads from its standard input, which stays
// open as long as the process may run.
type runnerSettings struct {
	ID          fleet.RunnerID
	Incarnation fleet.Incarnation
	Address     string
	ClockRate   float64
}

// runnerOutput is a line of a runner's standard output: that it listens, or an event.
type runnerOutput struct {
	Listening bool
	Event     standin.RunEvent
}

// taskText is the text of a job: it tells the runners how the job's tasks behave.
type taskText struct {
	DurationMS, CPU    int64
	Fails, LongRunning bool
}

func (t taskText) String() string {
	out, _ := json.Marshal(t) // can't fail
	return string(out)
}

// serveRunner is a runner process.
func serveRunner(in io.Reader, out io.Writer) error {
	settings := json.NewDecoder(in)
	var s runnerSettings
	if err := settings.Decode(&s); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	var writing sync.Mutex
	lines := json.NewEncoder(out)
	write := func(o runnerOutput) {
		writing.Lock()
		defer writing.Unlock()
		if lines.Encode(o) != nil {
			os.Exit(1) // the test has ended
		}
	}
	texts := &taskTexts{plans: make(map[fleet.TaskID]standin.TaskPlan)}
	runner := standin.NewTaskRunner(standin.TaskRunnerConfig{
		ID: s.ID, Incarnation: s.Incarnation, Capacity: runnerCapacity, ClockRate: s.ClockRate, StopDuration: stopTime, Plan: texts.plan,
		OnRunEvent: func(e standin.RunEvent) { write(runnerOutput{Event: e}) },
		Clock:      time.Now, // one reading of the wall clock, so that events of several processes have an order
	})
	go runner.Run(context.Background())
	texts.next = platformtest.RunnerHandler(s.ID, runner)
	srv := &http.Server{Handler: texts, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 2)
	go func() { served <- srv.Serve(platformtest.LimitConnections(ln, platformtest.MaxRunnerConnections)) }()
	go func() {
		_, _ = io.Copy(io.Discard, in)
		served <- errors.New("the test has ended")
	}()
	write(runnerOutput{Listening: true})
	return <-served
}

// taskTexts takes the behaviour of tasks from the texts of their starts.
type taskTexts struct {
	next  http.Handler
	mu    sync.Mutex
	plans map[fleet.TaskID]standin.TaskPlan
}

func (t *taskTexts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var start struct {
		Task string `json:"task"`
		Text string `json:"spec"`
	}
	var text taskText
	if json.Unmarshal(body, &start) == nil && json.Unmarshal([]byte(start.Text), &text) == nil {
		if id, err := fleet.ParseTaskID(start.Task); err == nil {
			t.mu.Lock()
			t.plans[id] = standin.TaskPlan{
				Needs:    fleet.Capacity{CPU: text.CPU, Memory: taskNeeds.Memory},
				Duration: time.Duration(text.DurationMS) * time.Millisecond, Fails: text.Fails, LongRunning: text.LongRunning,
			}
			t.mu.Unlock()
		}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	t.next.ServeHTTP(w, r)
}

func (t *taskTexts) plan(id fleet.TaskID) standin.TaskPlan {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plans[id]
}

// runnerProcess is one incarnation of a runner.
type runnerProcess struct {
	settings runnerSettings
	cmd      *exec.Cmd
	in       io.WriteCloser
	// read is closed when all output of the process has been read.
	read chan struct{}
}

// startRunner starts a runner process and returns once it listens.
func startRunner(s runnerSettings, onEvent func(standin.RunEvent)) (*runnerProcess, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &runnerProcess{settings: s, cmd: exec.Command(binary), read: make(chan struct{})}
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), runnerVariable+"=1"), os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	lines := json.NewDecoder(out)
	var first runnerOutput
	err = errors.Join(json.NewEncoder(p.in).Encode(s), lines.Decode(&first))
	go func() {
		defer close(p.read)
		var o runnerOutput
		for lines.Decode(&o) == nil {
			onEvent(o.Event)
			o = runnerOutput{}
		}
	}()
	if err != nil || !first.Listening {
		p.kill()
		return nil, fmt.Errorf("runner %s does not listen: %w", s.ID, err)
	}
	return p, nil
}

// kill kills the process and returns once it has ended and its output has been read.
func (p *runnerProcess) kill() {
	_ = p.cmd.Process.Kill() // fails if the process has just ended
	<-p.read
	_ = p.cmd.Wait()
	_ = p.in.Close()
}
