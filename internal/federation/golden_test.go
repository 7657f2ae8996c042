package federation

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

// filledCall returns a call between clusters in which each field has a value of its own.
func filledCall() Call {
	return Call{From: "there", To: "here", Kind: "kind", JobID: "job", OfferID: 1, Route: "route", Loan: "loan",
		MilliCPU: 2, DurationMs: 3, Cancel: true,
		Job: protocol.Job{Spec: "spec", PeriodicInstances: 4, FirstRunMs: 5, IntervalMs: 6, Steps: []protocol.Step{{
			TaskCount: 11, CPUUnits: 12, MemoryMB: 13, GPUs: 14, EstimateMs: 15, DependsOn: []int{16}, Gang: true,
			RequiredLabels: protocol.Labels{"label"}, PreferredRack: "rack", MaxPerWorker: 17, Speculative: true}}}}
}

// TestCallBytes compares the encoded messages between clusters with the golden bytes.
func TestCallBytes(t *testing.T) {
	call := filledCall()
	codec := golden.Codec{Encode: func(value any) ([]byte, error) { return transport.Encode(value), nil },
		Decode: transport.Decode}
	golden.Check(t, "calls.txt", codec, []golden.Case{
		{Name: "call", Value: &call},
		{Name: "answer", Value: &Response{Status: "word", Epoch: "epoch", Index: 21, MilliCPU: 22}},
		{Name: "signed", Value: &signedCall{From: "there", Body: []byte("body"), MAC: []byte("sum")}},
		{Name: "work", Value: &PendingWork{IsLeader: true, Epoch: "epoch", Index: 31, WallMs: 32,
			OpenTransfers: []OpenTransfer{{JobID: "job", Peer: "peer", OfferID: 33, State: 34, CancelRequested: true,
				Route: "route", Loan: "loan", Job: call.Job}},
			Candidates: []Candidate{{JobID: "job", Route: "route", Priority: 35, MilliCPU: 36, Offers: 37}},
			Demand:     map[int64]float64{38: 38.5}, CapacityMilliCPU: 39}},
		{Name: "move-over", Value: &OpenTransfer{JobID: "job", Peer: "peer", OfferID: 33, State: 34, Finished: true,
			Route: "route", Loan: "loan", Job: call.Job}},
	})
	golden.Text(t, "kinds.txt", fmt.Sprintf("call loan %s\ncall offer %s\ncall void %s\ncall release %s\n",
		CallLoan, CallOffer, CallWithdrawOffer, CallRelease))
}

// TestSignedCallBytes compares an encoded call with its signature with the golden bytes.
func TestSignedCallBytes(t *testing.T) {
	const key = "0123456789abcdef"
	raw := Sign(key, filledCall())
	golden.Text(t, "signed.txt", fmt.Sprintf("signed-call %x\n", raw))
	receiver := Settings{Name: "here", Peers: []Peer{{Name: "there", Key: key}}}
	if call, err := receiver.Verify(raw); err != nil || !reflect.DeepEqual(call, filledCall()) {
		t.Errorf("the signed call is verified as %+v, %v", call, err)
	}
}

// TestSettingsFile compares the settings file, with all its keys, with the golden text, both read
// and written.
func TestSettingsFile(t *testing.T) {
	want := Settings{Name: "here", BucketS: 1.5, DayS: 30.5, MinDays: 3, HorizonBuckets: 4, OverloadShare: 0.5,
		LendShare: 0.25, LoanS: 6.5, MaxOffers: 7, IntervalMs: 800,
		Peers:  []Peer{{Name: "there", Seeds: []string{"10.0.0.1:7720", "10.0.0.2:7720"}, Key: "0123456789abcdef"}},
		Routes: []Route{{LocalRoute: "route-here", Peer: "there", PeerRoute: "route-there"}}}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(want); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "moves.toml", text.String())
	got, err := Load(filepath.Join("testdata", "moves.toml"))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the file is read as\n%+v, %v, want\n%+v", got, err, want)
	}
}
