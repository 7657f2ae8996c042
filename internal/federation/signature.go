package federation

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"tealpond/internal/transport"
)

// Reasons for rejecting a call. Their texts are sent to the caller.
var (
	ErrUnreadable  = errors.New("unreadable")
	ErrUnknownPeer = errors.New("unknown peer")
	ErrForged      = errors.New("forged in the name of")
	ErrNotForUs    = errors.New("not meant for us")
)

// signedCall is an encoded call with the MAC that proves its sender.
type signedCall struct {
	_    struct{} `cbor:",toarray"`
	From string
	Body []byte // the encoded call
	MAC  []byte // HMAC-SHA256 of the body
}

// computeMAC returns the HMAC-SHA256 of a body.
func computeMAC(key string, body []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write(body) // never fails
	return mac.Sum(nil)
}

// Sign encodes a call and signs it with the key shared by both clusters.
func Sign(key string, call Call) []byte {
	body := transport.Encode(call)
	return transport.Encode(signedCall{From: call.From, Body: body, MAC: computeMAC(key, body)})
}

// Verify decodes a signed call and checks that it comes from a peer and is addressed to this
// cluster. The error wraps one of ErrUnreadable, ErrUnknownPeer, ErrForged and ErrNotForUs.
func (s *Settings) Verify(raw []byte) (Call, error) {
	var signed signedCall
	if transport.Decode(raw, &signed) != nil {
		return Call{}, ErrUnreadable
	}
	peer := s.findPeer(signed.From)
	if peer == nil {
		return Call{}, fmt.Errorf("%w %s", ErrUnknownPeer, signed.From)
	}
	if !hmac.Equal(computeMAC(peer.Key, signed.Body), signed.MAC) {
		return Call{}, fmt.Errorf("%w %s", ErrForged, signed.From)
	}
	var call Call
	if transport.Decode(signed.Body, &call) != nil || call.From != signed.From || call.To != s.Name {
		return Call{}, ErrNotForUs
	}
	return call, nil
}
