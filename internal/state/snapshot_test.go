package state

import (
	"reflect"
	"testing"
)

// TestSnapshotCopiesEachTable fails for each table or list that a snapshot shares with the
// state. A table that is added to the state must be copied by Store.Snapshot.
func TestSnapshotCopiesEachTable(t *testing.T) {
	s := New(Limits{})
	fillTables(reflect.ValueOf(s).Elem())
	snapshot := s.Snapshot()
	snapshot.Encode()
	checkNotShared(t, "", reflect.ValueOf(s).Elem(), reflect.ValueOf(snapshot.store).Elem())
}

// fillTables sets each table and list of a struct of the state to a non-nil value.
func fillTables(v reflect.Value) {
	for i := range v.NumField() {
		switch field := v.Field(i); {
		case !field.CanSet():
		case field.Kind() == reflect.Map:
			field.Set(reflect.MakeMap(field.Type()))
		case field.Kind() == reflect.Slice:
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
		case field.Kind() == reflect.Struct:
			fillTables(field)
		case field.Kind() == reflect.Pointer:
			field.Set(reflect.New(field.Type().Elem()))
			fillTables(field.Elem())
		}
	}
}

// checkNotShared fails the test for each map, slice and pointer that a state shares with its
// snapshot.
func checkNotShared(t *testing.T, path string, v, copied reflect.Value) {
	t.Helper()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		// A configuration is only ever replaced as a whole, so it may be shared. It is
		// identified by the name under which it is stored.
		if !field.IsExported() || field.Tag.Get("cbor") == "Desired" {
			continue
		}
		switch field.Type.Kind() {
		case reflect.Map, reflect.Slice:
			if v.Field(i).Pointer() == copied.Field(i).Pointer() {
				t.Errorf("%s%s is shared with the snapshot: copy it in Store.Snapshot", path, field.Name)
			}
		case reflect.Struct:
			checkNotShared(t, path+field.Name+".", v.Field(i), copied.Field(i))
		case reflect.Pointer:
			if v.Field(i).Pointer() == copied.Field(i).Pointer() {
				t.Errorf("%s%s is shared with the snapshot: copy it in Store.Snapshot", path, field.Name)
			}
			checkNotShared(t, path+field.Name+".", v.Field(i).Elem(), copied.Field(i).Elem())
		}
	}
}
