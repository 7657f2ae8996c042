package federation

import (
	"errors"
	"strings"
	"testing"
)

// TestVerifyAcceptsOnlyCallsOfPeersToThisCluster checks that a call is rejected if its sender lacks
// the peer's key, is unknown or addressed another cluster, or if it can't be decoded.
func TestVerifyAcceptsOnlyCallsOfPeersToThisCluster(t *testing.T) {
	file, err := Parse("f", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	call := Call{From: "b", To: "a", Kind: CallOffer, JobID: "j"}
	if got, err := file.Verify(Sign("0123456789abcdef", call)); err != nil || got.JobID != "j" {
		t.Fatalf("a valid call: %v", err)
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
