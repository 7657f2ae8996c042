// Package protocol defines the JSON bodies and the headers used by clients, operators
// and runners, as specified in PROTOCOL-tealpond.md.
//
// Go names follow docs/GLOSSARY.md. The names in the tags are those of the
// specification and must not change. Types tagged toarray are also stored, encoded in
// the order of their fields, which must not change either. The package has no logic
// beyond decoding, and no state.
package protocol
