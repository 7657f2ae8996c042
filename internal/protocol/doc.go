// Package protocol defines the JSON bodies and the headers that clients, operators
// and runners see, as PROTOCOL-tealpond.md specifies them.
//
// Go names are the terms of docs/GLOSSARY.md; the names in the tags are those of the
// specification and never change. Types tagged toarray are also stored, encoded by
// the order of their fields, which must not change either. The package has no logic
// beyond decoding, and no state.
package protocol
