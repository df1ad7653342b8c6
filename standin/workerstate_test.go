package standin

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/infra"
	"github.com/shoenig/test/must"
)

func results(out []platformEffect) (all []commandResult, powers []Power) {
	for _, e := range out {
		switch e := e.(type) {
		case replyCommand:
			all = append(all, e.result)
		case changePower:
			powers = append(powers, e.power)
		}
	}
	return all, powers
}

func TestRepeatedCommandRebootsOnce(t *testing.T) {
	s := newPlatformState()
	now := time.Unix(0, 0)
	s.reduce(now, workerFaultSet{fault: WorkerFault{LoseAnswers: 1, RebootTime: time.Second}})
	reboot := commandRequested{id: "1", instance: "runner-1", command: infra.CommandReboot}
	res, powers := results(s.reduce(now, reboot))
	must.Eq(t, []commandResult{commandLost}, res)
	must.Eq(t, []Power{PowerDown}, powers)
	res, powers = results(s.reduce(now, reboot))
	must.Eq(t, []commandResult{commandPending}, res)
	must.Len(t, 0, powers)
	_, powers = results(s.reduce(now.Add(time.Second), platformTimer{}))
	must.Eq(t, []Power{PowerUp}, powers)
	res, _ = results(s.reduce(now.Add(time.Second), reboot))
	must.Eq(t, []commandResult{commandDone}, res)
}
