// Package protocol holds the JSON bodies and the headers that clients, operators
// and runners see, as PROTOCOL-tealpond.md gives them.
//
// Go names are the field's terms; the names in the tags are those of the page and
// never change. Types tagged toarray are also stored, encoded by the order of
// their fields, which must not change either. The package decides nothing: it
// holds neither rules nor state.
package protocol
