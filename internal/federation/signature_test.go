package federation

import (
	"errors"
	"strings"
	"testing"
)

// TestOnlyCallsOfAPeerForUsAreAccepted: whoever lacks the key of a peer can't call in
// its name, and a peer's call to another cluster is of no use here.
func TestOnlyCallsOfAPeerForUsAreAccepted(t *testing.T) {
	file, err := Parse("f", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	call := Call{From: "b", To: "a", Kind: CallOffer, JobID: "j"}
	if got, err := file.Verify(Sign("0123456789abcdef", call)); err != nil || got.JobID != "j" {
		t.Fatalf("a good call: %v", err)
	}
	for _, test := range []struct {
		text string
		want error
		raw  []byte
	}{
		{"forged", ErrForged, Sign("another key, 16 c", call)},
		{"unknown", ErrUnknownPeer, Sign("0123456789abcdef", Call{From: "z", To: "a"})},
		{"not meant", ErrNotForUs, Sign("0123456789abcdef", Call{From: "b", To: "q"})},
		{"unreadable", ErrUnreadable, []byte("x")},
	} {
		if _, err := file.Verify(test.raw); !errors.Is(err, test.want) || !strings.Contains(err.Error(), test.text) {
			t.Errorf("%s: %v", test.text, err)
		}
	}
}
