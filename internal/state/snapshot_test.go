package state

import (
	"reflect"
	"testing"
)

// TestSnapshotCopiesEachTable shows which table or list a snapshot shares with
// the state: one that is added to the state must be copied too.
func TestSnapshotCopiesEachTable(t *testing.T) {
	s := New(Limits{})
	fillTables(reflect.ValueOf(s).Elem())
	snapshot := s.Snapshot()
	snapshot.Encode()
	checkNotShared(t, "", reflect.ValueOf(s).Elem(), reflect.ValueOf(snapshot.store).Elem())
}

// fillTables puts something into each table and list of a part of the state.
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

// checkNotShared finds what a state and its snapshot both write to.
func checkNotShared(t *testing.T, path string, v, frozen reflect.Value) {
	t.Helper()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		// A configuration in force is replaced whole, never written. It is known by
		// the name under which it is stored.
		if !field.IsExported() || field.Tag.Get("cbor") == "Desired" {
			continue
		}
		switch field.Type.Kind() {
		case reflect.Map, reflect.Slice:
			if v.Field(i).Pointer() == frozen.Field(i).Pointer() {
				t.Errorf("%s%s is shared with the snapshot: copy it in Store.Snapshot", path, field.Name)
			}
		case reflect.Struct:
			checkNotShared(t, path+field.Name+".", v.Field(i), frozen.Field(i))
		case reflect.Pointer:
			if v.Field(i).Pointer() == frozen.Field(i).Pointer() {
				t.Errorf("%s%s is shared with the snapshot: copy it in Store.Snapshot", path, field.Name)
			}
			checkNotShared(t, path+field.Name+".", v.Field(i).Elem(), frozen.Field(i).Elem())
		}
	}
}
