package infra_test

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/samber/oops"
	"github.com/shoenig/test/must"
)

// deadURL refuses connections: nothing listens on port 1 of the loopback address.
const deadURL = "http://127.0.0.1:1"

func TestRefusedConnectionAppendedNothing(t *testing.T) {
	_, err := infra.NewClient(deadURL).Append(t.Context(), "control", []byte("x"))
	must.ErrorIs(t, err, infra.ErrNotAppended)
}

func TestLostAnswerIsUnknown(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	_, err := infra.NewClient(srv.URL).Append(t.Context(), "control", []byte("x"))
	must.ErrorIs(t, err, infra.ErrUnknown)
}

func TestErrorsCarryStepAndPeer(t *testing.T) {
	_, err := infra.NewClient(deadURL).Read(t.Context(), "control", 1, time.Second)
	must.ErrorIs(t, err, infra.ErrUnavailable)
	e, ok := oops.AsOops(err)
	must.True(t, ok)
	must.Eq(t, "read", e.Context()["step"])
	must.Eq(t, deadURL, e.Context()["peer"])
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	p := standin.NewPlatform()
	go p.Run(t.Context())
	var statuses []int
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		p.ServeHTTP(answer, r)
		statuses = append(statuses, answer.Code)
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // the client fails if the answer is truncated
	}))
	defer srv.Close()
	client := infra.NewClient(srv.URL)
	for _, id := range []string{"runner-1", "runner-1", "runner-2"} {
		rows := []infra.ListedInstance{{ID: id, Role: infra.RoleEndpoint}}
		must.NoError(t, p.SetListed(rows))
		got, err := client.List(t.Context())
		must.NoError(t, err)
		must.Eq(t, rows, got)
	}
	must.Eq(t, []int{http.StatusOK, http.StatusNotModified, http.StatusOK}, statuses)
}
