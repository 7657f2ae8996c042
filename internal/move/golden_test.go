package move

import (
	"bytes"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/BurntSushi/toml"

	"tealpond/internal/golden"
	"tealpond/internal/protocol"
	"tealpond/internal/transport"
)

// filledCall gives a call between clusters whose fields differ.
func filledCall() Call {
	return Call{From: "there", To: "here", Kind: "kind", Job: "job", No: 1, Lane: "route", Loan: "loan", CPU: 2, ForMs: 3, Cancel: true,
		Body: protocol.Job{Spec: "spec", PeriodicInstances: 4, FirstRunMs: 5, IntervalMs: 6, Steps: []protocol.Step{{
			TaskCount: 11, CPUUnits: 12, MemoryMB: 13, GPUs: 14, EstimateMs: 15, DependsOn: []int{16}, Gang: true,
			RequiredLabels: protocol.Labels{"label"}, PreferredRack: "rack", MaxPerWorker: 17, Speculative: true}}}}
}

// TestCallBytes holds the messages between clusters against the golden bytes.
func TestCallBytes(t *testing.T) {
	call := filledCall()
	codec := golden.Codec{Encode: func(value any) ([]byte, error) { return transport.Encode(value), nil }, Decode: transport.Decode}
	golden.Check(t, "calls.txt", codec, []golden.Case{
		{Name: "call", Value: &call},
		{Name: "answer", Value: &Said{Word: "word", Epoch: "epoch", Index: 21, N: 22}},
		{Name: "signed", Value: &signed{From: "there", Body: []byte("body"), Sum: []byte("sum")}},
		{Name: "work", Value: &Work{Leads: true, Epoch: "epoch", Index: 31, Wall: 32,
			Open: []Open{{Job: "job", Peer: "peer", No: 33, State: 34, Cancel: true, Lane: "route", Loan: "loan", Body: call.Body}},
			Free: []Candidate{{Job: "job", Lane: "route", Priority: 35, CPU: 36, Rounds: 37}}, Demand: map[int64]float64{38: 38.5}, Room: 39}},
		{Name: "move-over", Value: &Open{Job: "job", Peer: "peer", No: 33, State: 34, Over: true, Lane: "route", Loan: "loan", Body: call.Body}},
	})
	golden.Text(t, "kinds.txt", fmt.Sprintf("call loan %s\ncall offer %s\ncall void %s\ncall release %s\n", CallLoan, CallOffer, CallVoid, CallRelease))
}

// TestSignedCallBytes holds a call with its signature against the golden bytes.
func TestSignedCallBytes(t *testing.T) {
	const key = "0123456789abcdef"
	raw := Sign(key, filledCall())
	golden.Text(t, "signed.txt", fmt.Sprintf("signed-call %x\n", raw))
	receiver := Setting{Name: "here", Peers: []Peer{{Name: "there", Key: key}}}
	if call, why := receiver.Open(raw); why != "" || !reflect.DeepEqual(call, filledCall()) {
		t.Errorf("the call opens as %+v, %q", call, why)
	}
}

// TestSettingsFile holds the settings file with all its keys against the golden
// text, read and written.
func TestSettingsFile(t *testing.T) {
	want := Setting{Name: "here", BucketS: 1.5, DayS: 30.5, LeastDays: 3, Horizon: 4, CrowdedAt: 0.5, LendShare: 0.25, LoanS: 6.5, EachTime: 7, PauseMs: 800,
		Peers: []Peer{{Name: "there", Seeds: []string{"10.0.0.1:7720", "10.0.0.2:7720"}, Key: "0123456789abcdef"}},
		Lanes: []Lane{{Here: "route-here", Peer: "there", There: "route-there"}}}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(want); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "moves.toml", text.String())
	got, err := Load(filepath.Join("testdata", "moves.toml"))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the file reads as\n%+v, %v, want\n%+v", got, err, want)
	}
}
