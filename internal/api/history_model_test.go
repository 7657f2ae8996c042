package api

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
)

// The sequential specification of operators' calls: a register with conditional writes, as defined
// in PROTOCOL-tealpond.md.

// callInput is a call. A read has an empty text.
type callInput struct {
	base, version int64
	text          string
}

func (c callInput) id() string { return fmt.Sprintf("|%d:%s|", c.base, c.text) }

// callOutput is the response to a call: code 200, a rejection (4xx), or 0 if the outcome is
// unknown. The text is the result of a read.
type callOutput struct {
	code int
	text string
}

// register is the state of the model: the configuration in force, the changes that were ever
// accepted, and those rejected although their base version could still come into force.
type register struct {
	version  int64
	text     string
	accepted string
	rejected string
}

func (r register) step(in callInput, out callOutput) (bool, register) {
	if in.text == "" {
		return out.text == r.text, r
	}
	wasAccepted := strings.Contains(r.accepted, in.id())
	acceptable := !wasAccepted && in.base == r.version && in.version > r.version && !strings.Contains(r.rejected, in.id())
	switch {
	case acceptable && (out.code == 200 || out.code == 0):
		return true, register{in.version, in.text, r.accepted + in.id(), r.rejected}
	case out.code == 200:
		return wasAccepted, r
	case out.code >= 400:
		if in.base > r.version && !strings.Contains(r.rejected, in.id()) {
			r.rejected += in.id()
		}
		return !wasAccepted && !acceptable, r
	}
	// The outcome is unknown and the change did not take effect here. Such a call may be ordered
	// after all others.
	return true, r
}

var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		ok, next := state.(register).step(input.(callInput), output.(callOutput))
		return ok, next
	},
}
