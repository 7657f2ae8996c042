package federation

import (
	"testing"
	"time"

	"tealpond/internal/state"
)

// TestNextCallFollowsTheTransferState checks that an offer is repeated only while the loan is
// valid, that cancellation takes precedence, and that a finished job is released.
func TestNextCallFollowsTheTransferState(t *testing.T) {
	now := time.Unix(1000, 0)
	peerLoan, expiredLoan := loan{id: "loan", expiresAt: now.Add(time.Second)}, loan{id: "loan", expiresAt: now}
	for _, test := range []struct {
		name     string
		transfer OpenTransfer
		peerLoan loan
		want     Call
	}{
		{"offered", OpenTransfer{State: state.TransferOffered, Route: "route"}, peerLoan,
			Call{Kind: CallOffer, Route: "route", Loan: "loan"}},
		{"offered, the loan has expired", OpenTransfer{State: state.TransferOffered, Route: "route"}, expiredLoan,
			Call{Kind: CallWithdrawOffer}},
		{"offered, no loan", OpenTransfer{State: state.TransferOffered, Route: "route"}, loan{},
			Call{Kind: CallWithdrawOffer}},
		{"offered, to be canceled", OpenTransfer{State: state.TransferOffered, CancelRequested: true}, peerLoan,
			Call{Kind: CallWithdrawOffer, Cancel: true}},
		{"accepted", OpenTransfer{State: state.TransferAccepted}, peerLoan, Call{Kind: CallWithdrawOffer}},
		{"accepted, to be canceled", OpenTransfer{State: state.TransferAccepted, CancelRequested: true}, peerLoan,
			Call{Kind: CallWithdrawOffer, Cancel: true}},
		{"finished", OpenTransfer{State: state.TransferAccepted, Finished: true}, peerLoan, Call{Kind: CallRelease}},
	} {
		test.transfer.JobID, test.transfer.OfferID = "job", 7
		test.want.JobID, test.want.OfferID = "job", 7
		got := nextCall(test.transfer, test.peerLoan, now)
		if got.Kind != test.want.Kind || got.JobID != test.want.JobID || got.OfferID != test.want.OfferID ||
			got.Route != test.want.Route || got.Loan != test.want.Loan || got.Cancel != test.want.Cancel {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
