package fleet

import (
	"errors"
	"fmt"
)

// Limits of a job. They bound the memory that one job takes at the owner.
const (
	// MaxTextBytes is the size of the longest text of a job that the users' platform
	// allows.
	MaxTextBytes = 4000
	// MaxStepTasks and MaxJobTasks are the most tasks of a step and of all steps of a
	// job.
	MaxStepTasks = 10_000
	MaxJobTasks  = 20_000
)

// ErrJobSpec means that a job's spec is invalid.
var ErrJobSpec = errors.New("fleet: invalid job")

// Validate reports the first fault of the spec. Its error wraps ErrJobSpec.
func (s *JobSpec) Validate() error {
	switch {
	case len(s.Text) > MaxTextBytes:
		return fmt.Errorf("%w: the text is longer than %d bytes", ErrJobSpec, MaxTextBytes)
	case len(s.Steps) == 0:
		return fmt.Errorf("%w: it has no steps", ErrJobSpec)
	case s.Repeats < 0 || s.Interval < 0:
		return fmt.Errorf("%w: repeats or interval is negative", ErrJobSpec)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxJobTasks {
		return fmt.Errorf("%w: it has more than %d tasks", ErrJobSpec, MaxJobTasks)
	}
	return nil
}

// validate reports the first fault of the step with a number.
func (st *Step) validate(number int) error {
	if st.Count <= 0 || st.Count > MaxStepTasks {
		return fmt.Errorf("%w: step %d has %d tasks", ErrJobSpec, number, st.Count)
	}
	if st.Needs.CPU < 0 || st.Needs.Memory < 0 || st.Needs.Accelerators < 0 || st.Estimate < 0 || st.LatencyTarget < 0 ||
		st.MaxPerRunner < 0 || st.MaxUnavailable < 0 {
		return fmt.Errorf("%w: step %d has a negative figure", ErrJobSpec, number)
	}
	for _, a := range st.After {
		if a < 0 || a >= number {
			return fmt.Errorf("%w: step %d follows step %d, which is not an earlier one", ErrJobSpec, number, a)
		}
	}
	return nil
}
