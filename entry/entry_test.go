package entry

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestRequestNamesAreUniqueAcrossRestarts(t *testing.T) {
	first := New(Config{ID: "entry-1", Incarnation: 1}, Deps{})
	second := New(Config{ID: "entry-1", Incarnation: 2}, Deps{})
	must.NotEqOp(t, first.requestName(1), second.requestName(1))
}
