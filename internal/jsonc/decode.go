// Package jsonc decodes JSON with comments strictly: unknown members, duplicate
// members, wrong types and missing required members are errors. All of them are
// reported at once, each with its file, line and reason.
package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// ErrInvalid matches every Problems value in errors.Is.
var ErrInvalid = errs.New("invalid input")

// Problem is one error in a file. Line and Column (in bytes) count from one;
// zero means that the position is unknown. Path names the member, such as
// sources[0].name; it is empty for the top level.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
}

// String returns the problem as "file:line:column: path: reason", without the
// parts that are unknown.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Problems is an error that lists all problems of a file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// File is a decoded file. It keeps the position of each member, so that later
// checks can report a problem with its line. It must not be used concurrently.
type File struct {
	name     string
	data     []byte
	offsets  map[string]int // Byte offset of each member, by path.
	problems Problems
}

// Decode parses data into the struct that into points to. name is the file name
// that problems show. Members are matched by their json tags; a tag
// `jsonc:"required"` makes a member required. Decode collects problems instead
// of returning an error: File.Err returns them, and File.Report adds to them,
// also after Decode has found some.
func Decode(name string, data []byte, into any) *File {
	f := &File{name: name, data: data, offsets: map[string]int{}}
	tree, err := hujson.Parse(data)
	if err != nil {
		f.problems = append(f.problems, Problem{File: name, Reason: strings.TrimPrefix(err.Error(), "hujson: ")})
		return f
	}
	f.decodeValue(&tree, reflect.ValueOf(into).Elem(), "")
	return f
}

// Report adds a problem found by a later check. Its position is that of path
// or, if the file has no such member, of the nearest ancestor.
func (f *File) Report(path, format string, args ...any) {
	f.problems = append(f.problems, f.problemAt(path, fmt.Sprintf(format, args...)))
}

// Err returns all problems as Problems, sorted by line, or nil if there are
// none.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].Line < f.problems[j].Line })
	return f.problems
}

func (f *File) problemAt(path, reason string) Problem {
	p := Problem{File: f.name, Path: path, Reason: reason}
	for ancestor := path; ; ancestor = parentPath(ancestor) {
		if offset, ok := f.offsets[ancestor]; ok {
			p.Line, p.Column = f.position(offset)
			return p
		}
		if ancestor == "" {
			return p
		}
	}
}

// parentPath removes the last member or index of a path.
func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// position returns the line and column of a byte offset, which count from one.
func (f *File) position(offset int) (line, column int) {
	before := string(f.data[:min(offset, len(f.data))])
	return strings.Count(before, "\n") + 1, len(before) - strings.LastIndex(before, "\n")
}

// decodeValue decodes v by the type of the field into: a TextUnmarshaler gets
// a string, a json.RawMessage the bytes of the value, and other types a value of
// their kind. The decode methods report a value that does not fit.
func (f *File) decodeValue(v *hujson.Value, into reflect.Value, path string) {
	f.offsets[path] = v.StartOffset
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		f.decodeText(v, u, path)
		return
	}
	if raw, ok := into.Addr().Interface().(*json.RawMessage); ok {
		*raw = append((*raw)[:0], f.data[v.StartOffset:v.EndOffset]...)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		f.decodeValue(v, into.Elem(), path)
	case reflect.Struct:
		f.decodeObject(v, into, path)
	case reflect.Map:
		f.decodeMap(v, into, path)
	case reflect.Slice:
		f.decodeArray(v, into, path)
	default:
		f.decodeLiteral(v, into, path)
	}
}

func (f *File) decodeText(v *hujson.Value, target encoding.TextUnmarshaler, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		f.Report(path, "want a string, got %s", actualKind(v))
		return
	}
	if err := target.UnmarshalText([]byte(lit.String())); err != nil {
		f.Report(path, "%v", err)
	}
}

func (f *File) decodeObject(v *hujson.Value, into reflect.Value, path string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		f.Report(path, "want an object, got %s", actualKind(v))
		return
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		f.offsets[memberPath] = o.Members[i].Name.StartOffset
		if seen[name] {
			f.Report(memberPath, "stands twice")
			continue
		}
		seen[name] = true
		index, known := fields.index[name]
		if !known {
			f.Report(memberPath, "unknown field; known here: %s", strings.Join(fields.names, ", "))
			continue
		}
		f.decodeValue(&o.Members[i].Value, into.Field(index), memberPath)
	}
	for _, name := range fields.required {
		if !seen[name] {
			f.Report(path, "field %q is missing", name)
		}
	}
}

func (f *File) decodeMap(v *hujson.Value, into reflect.Value, path string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		f.Report(path, "want an object, got %s", actualKind(v))
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		if into.MapIndex(reflect.ValueOf(name)).IsValid() {
			f.Report(memberPath, "stands twice")
			continue
		}
		element := reflect.New(into.Type().Elem()).Elem()
		f.decodeValue(&o.Members[i].Value, element, memberPath)
		into.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (f *File) decodeArray(v *hujson.Value, into reflect.Value, path string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		f.Report(path, "want a list, got %s", actualKind(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		f.decodeValue(&a.Elements[i], into.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (f *File) decodeLiteral(v *hujson.Value, into reflect.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	switch {
	case ok && into.Kind() == reflect.String && lit.Kind() == '"':
		into.SetString(lit.String())
	case ok && into.Kind() == reflect.Bool && (lit.Kind() == 't' || lit.Kind() == 'f'):
		into.SetBool(lit.Bool())
	case ok && (into.CanInt() || into.CanUint()) && lit.Kind() == '0':
		f.decodeInteger(string(lit), into, path)
	default:
		f.Report(path, "want %s, got %s", expectedKind(into.Kind()), actualKind(v))
	}
}

func (f *File) decodeInteger(text string, into reflect.Value, path string) {
	if into.CanUint() {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || into.OverflowUint(n) {
			f.Report(path, "want a whole number from 0 on, got %s", text)
			return
		}
		into.SetUint(n)
		return
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || into.OverflowInt(n) {
		f.Report(path, "want a whole number, got %s", text)
		return
	}
	into.SetInt(n)
}

func expectedKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

func actualKind(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	case '{':
		return "an object"
	default:
		return "a list"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// structFields describes the fields of a struct that have a json tag.
type structFields struct {
	index    map[string]int // Index of the field, by name.
	names    []string       // In the order of the fields.
	required []string
}

func fieldsOf(t reflect.Type) structFields {
	s := structFields{index: map[string]int{}}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		s.index[name] = i
		s.names = append(s.names, name)
		if t.Field(i).Tag.Get("jsonc") == "required" {
			s.required = append(s.required, name)
		}
	}
	return s
}
