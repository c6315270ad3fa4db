package peer

import (
	"encoding"
	"encoding/gob"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/outer"
)

// TestNames checks the names that net/rpc and gob write. A renamed method or field compiles, but
// a process of another release does not receive it and reports no error.
func TestNames(t *testing.T) {
	service := reflect.TypeFor[peerService]()
	require.NotZero(t, service.NumMethod())
	var names []string
	for m := range service.Methods() {
		path := peerName + "." + m.Name
		names = append(names, path)
		names = append(names, gobNames(path+" in", m.Type.In(1), nil)...)
		names = append(names, gobNames(path+" out", m.Type.In(2), nil)...)
	}
	names = append(names, gobNames("Document", reflect.TypeFor[fleet.Document](), nil)...)
	outer.Check(t, "testdata/names.txt", names)
}

// modulePath begins the paths of all packages of this module.
const modulePath = "github.com/pathhead/pathhead"

// gobNames returns the paths of all fields that gob writes for a type, with the kinds that it compares.
// Names of types of this module are omitted, since gob does not compare them.
func gobNames(path string, typ reflect.Type, within []reflect.Type) []string {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if encodesItself(typ) {
		if strings.HasPrefix(typ.PkgPath(), modulePath) {
			return []string{path + " encodes itself"}
		}
		return []string{path + " encoded by " + typ.String()}
	}
	switch typ.Kind() {
	case reflect.Slice, reflect.Array:
		return gobNames(path+"[]", typ.Elem(), within)
	case reflect.Map:
		return append(gobNames(path+"{key}", typ.Key(), within), gobNames(path+"{}", typ.Elem(), within)...)
	case reflect.Struct:
	default:
		return []string{path + " " + typ.Kind().String()}
	}
	for _, outside := range within {
		if outside == typ {
			return []string{path + " recursive"}
		}
	}
	names := []string{path + " struct"}
	for f := range typ.Fields() {
		if f.IsExported() {
			names = append(names, gobNames(path+"."+f.Name, f.Type, append(within, typ))...)
		}
	}
	return names
}

func encodesItself(typ reflect.Type) bool {
	for _, as := range []reflect.Type{
		reflect.TypeFor[gob.GobEncoder](), reflect.TypeFor[encoding.BinaryMarshaler](), reflect.TypeFor[encoding.TextMarshaler](),
	} {
		if typ.Implements(as) || reflect.PointerTo(typ).Implements(as) {
			return true
		}
	}
	return false
}
