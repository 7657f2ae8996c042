package api

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
)

// The sequential meaning of operators' calls: a register with conditional
// writes, as PROTOCOL-tealpond.md has it.

// callInput is one call; a read has an empty text.
type callInput struct {
	base, version int64
	text          string
}

func (c callInput) id() string { return fmt.Sprintf("|%d:%s|", c.base, c.text) }

// callOutput is the answer: code 200, a refusal (4xx), or 0 for none that is
// clear. Text is what a read gave.
type callOutput struct {
	code int
	text string
}

// register is the state: what is in force, what ever was, and what was refused
// although its base could still come.
type register struct {
	version  int64
	text     string
	accepted string
	refused  string
}

func (r register) step(in callInput, out callOutput) (bool, register) {
	if in.text == "" {
		return out.text == r.text, r
	}
	known := strings.Contains(r.accepted, in.id())
	proper := !known && in.base == r.version && in.version > r.version && !strings.Contains(r.refused, in.id())
	switch {
	case proper && (out.code == 200 || out.code == 0):
		return true, register{in.version, in.text, r.accepted + in.id(), r.refused}
	case out.code == 200:
		return known, r
	case out.code >= 400:
		if in.base > r.version && !strings.Contains(r.refused, in.id()) {
			r.refused += in.id()
		}
		return !known && !proper, r
	}
	// No clear answer, and it did not come into force: such a call may be put
	// behind all others.
	return true, r
}

var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		ok, next := state.(register).step(input.(callInput), output.(callOutput))
		return ok, next
	},
}
