package state

import (
	"maps"
	"testing"
)

// TestOutcomeCodesAreStable compares the codes with the numbers that are part of the
// digest chain and of responses between daemons.
func TestOutcomeCodesAreStable(t *testing.T) {
	for code, number := range map[Code]int{
		CodeOK: 200, CodeAccepted: 202, CodeInvalid: 400, CodeNotFound: 404, CodeConflict: 409,
		CodeGone: 410, CodePreconditionFailed: 412, CodeUnavailable: 503, CodeUnknown: 504,
	} {
		if int(code) != number {
			t.Errorf("code is %d, want %d", code, number)
		}
	}
}

// TestExternalNamesAreStable compares results, statuses and answers with the names that
// runners, clients and peers use.
func TestExternalNamesAreStable(t *testing.T) {
	names := map[string]string{
		"ResultDone": ResultDone, "ResultFailed": ResultFailed, "ResultRefused": ResultRefused,
		"ResultLeaseExpired": ResultLeaseExpired, "ResultCrashed": ResultCrashed,
		"StatusPending": StatusPending, "StatusRunning": StatusRunning, "StatusDone": StatusDone,
		"StatusFailed": StatusFailed, "StatusCanceled": StatusCanceled,
		"AnswerAccepted": AnswerAccepted, "AnswerRefused": AnswerRefused, "AnswerVoided": AnswerWithdrawn, "AnswerReleased": AnswerReleased,
	}
	want := map[string]string{
		"ResultDone": "done", "ResultFailed": "failed", "ResultRefused": "refused", "ResultLeaseExpired": "lapsed", "ResultCrashed": "crashed",
		"StatusPending": "pending", "StatusRunning": "serving", "StatusDone": "done", "StatusFailed": "failed", "StatusCanceled": "called_off",
		"AnswerAccepted": "taken", "AnswerRefused": "refused", "AnswerVoided": "voided", "AnswerReleased": "released",
	}
	if !maps.Equal(names, want) {
		t.Errorf("names are %v, want %v", names, want)
	}
}
