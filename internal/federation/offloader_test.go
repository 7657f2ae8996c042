package federation

import (
	"testing"
	"time"

	"tealpond/internal/state"
)

// TestSettlingCallFollowsTheTransfer: an offer is repeated only while its room is
// lent, a wish to cancel goes first, and what has ended is released.
func TestSettlingCallFollowsTheTransfer(t *testing.T) {
	now := time.Unix(1000, 0)
	lent, expired := loan{id: "loan", expiresAt: now.Add(time.Second)}, loan{id: "loan", expiresAt: now}
	for _, test := range []struct {
		name string
		open OpenTransfer
		lent loan
		want Call
	}{
		{"offered", OpenTransfer{State: state.TransferOffered, Route: "route"}, lent, Call{Kind: CallOffer, Route: "route", Loan: "loan"}},
		{"offered, the loan is over", OpenTransfer{State: state.TransferOffered, Route: "route"}, expired, Call{Kind: CallWithdrawOffer}},
		{"offered, no loan is known", OpenTransfer{State: state.TransferOffered, Route: "route"}, loan{}, Call{Kind: CallWithdrawOffer}},
		{"offered, to be cancelled", OpenTransfer{State: state.TransferOffered, CancelRequested: true}, lent, Call{Kind: CallWithdrawOffer, Cancel: true}},
		{"accepted", OpenTransfer{State: state.TransferAccepted}, lent, Call{Kind: CallWithdrawOffer}},
		{"accepted, to be cancelled", OpenTransfer{State: state.TransferAccepted, CancelRequested: true}, lent, Call{Kind: CallWithdrawOffer, Cancel: true}},
		{"finished", OpenTransfer{State: state.TransferAccepted, Finished: true}, lent, Call{Kind: CallRelease}},
	} {
		test.open.JobID, test.open.OfferID = "job", 7
		test.want.JobID, test.want.OfferID = "job", 7
		got := settlingCall(test.open, test.lent, now)
		if got.Kind != test.want.Kind || got.JobID != test.want.JobID || got.OfferID != test.want.OfferID || got.Route != test.want.Route || got.Loan != test.want.Loan || got.Cancel != test.want.Cancel {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
