package loader

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

const keyHashPrefix = "sha256:"

var labelPattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]*[a-z0-9])?$`)

// remedies maps each validation tag to how a failing value is corrected; %s stands for the tag's parameter.
var remedies = map[string]string{
	"required":         "set this field",
	"required_without": "name at least one, or set %s instead",
	"excluded_with":    "leave this out where %s is set",
	"gt":               "use a value greater than %s",
	"gte":              "use a value of at least %s",
	"lte":              "use a value of at most %s",
	"min":              "give at least %s",
	"max":              "use at most %s characters",
	"len":              "give exactly %s",
	"oneof":            "use one of: %s",
	"startswith":       "start it with %s",
	"unique":           "remove the repeated entry",
	"label":            "use lower-case letters, digits and hyphens",
	"keyhash":          "use sha256: and 64 hex digits, as printed by `dogwoodledge account hash`",
	"hexadecimal":      "use hex digits",
}

// NewValidator returns a validator for the files and HTTP bodies that this project reads. It names fields by their YAML or JSON
// key and knows the tags label and keyhash.
func NewValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "" {
			name, _, _ = strings.Cut(f.Tag.Get("json"), ",")
		}
		return name
	})
	must(v.RegisterValidation("label", func(fl validator.FieldLevel) bool {
		return labelPattern.MatchString(fl.Field().String())
	}))
	must(v.RegisterValidation("keyhash", func(fl validator.FieldLevel) bool { return isKeyHash(fl.Field().String()) }))
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		if addr, ok := f.Interface().(netip.AddrPort); ok && addr.IsValid() {
			return addr.String()
		}
		return ""
	}, netip.AddrPort{})
	return v
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func isKeyHash(s string) bool {
	digits, ok := strings.CutPrefix(s, keyHashPrefix)
	raw, err := hex.DecodeString(digits)
	return ok && err == nil && len(raw) == 32
}

// Remedy returns how to correct a field that failed validation.
func Remedy(fe validator.FieldError) string {
	text, ok := remedies[fe.Tag()]
	if !ok {
		return "mend this value (" + fe.Tag() + ")"
	}
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, fe.Param())
	}
	return text
}

// FieldPath returns the path of the field within its document, with keys as written there. It leaves out the embedded
// declarer.Meta, whose keys stand at the top level of the document.
func FieldPath(fe validator.FieldError) string {
	parts := strings.Split(fe.Namespace(), ".")
	path := []string{}
	for _, part := range parts[1:] {
		if part != "" && part != "Meta" {
			path = append(path, part)
		}
	}
	return strings.Join(path, ".")
}

// decodeNode decodes a document. It turns a panic of the YAML library, which some documents cause, into an error.
func decodeNode(node ast.Node, into any, opts ...yaml.DecodeOption) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("the document can't be read: %v", r)
		}
	}()
	return yaml.NodeToValue(node, into, opts...)
}

// reportExtraSyntax adds an error for each tag, anchor, alias and merge key, and reports whether there were any. Files need none
// of them, and nested aliases can expand a small document without bound.
func reportExtraSyntax(file string, node ast.Node, errs *FieldErrors) bool {
	before := len(errs.Errors)
	ast.Walk(visitorFunc(func(n ast.Node) {
		switch n.(type) {
		case *ast.TagNode, *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
			errs.add(&FieldError{
				File: file, Line: n.GetToken().Position.Line, Field: "document", Value: n.GetToken().Value,
				Remedy: "leave out tags, anchors and aliases",
			})
		}
	}), node)
	return len(errs.Errors) > before
}

// decodeStrict decodes and validates one document, and adds an error with the line of each invalid field. Keys that into does
// not have are invalid.
func decodeStrict(v *validator.Validate, file string, node ast.Node, into any, errs *FieldErrors) {
	if reportExtraSyntax(file, node, errs) {
		return
	}
	if err := decodeNode(node, into, yaml.Strict()); err != nil {
		errs.add(syntaxError(file, node, err))
		return
	}
	invalid := validator.ValidationErrors{}
	if err := v.Struct(into); !errors.As(err, &invalid) {
		return
	}
	for _, fe := range invalid {
		path := FieldPath(fe)
		value := ""
		if fe.Tag() != "required" {
			value = fmt.Sprint(fe.Value())
		}
		errs.add(&FieldError{File: file, Line: lineOf(node, path), Field: path, Value: value, Remedy: Remedy(fe)})
	}
}

// syntaxError turns an error of the YAML library into a FieldError with the line and a remedy for the usual mistakes.
func syntaxError(file string, node ast.Node, err error) *FieldError {
	fe := &FieldError{File: file, Line: node.GetToken().Position.Line, Field: "document", Remedy: err.Error()}
	ye := yaml.Error(nil)
	if !errors.As(err, &ye) {
		return addressError(fe, node, err)
	}
	fe.Remedy = ye.GetMessage()
	if t := ye.GetToken(); t != nil {
		fe.Line, fe.Value = t.Position.Line, t.Value
		if key := keyOf(node, func(value ast.Node) bool { return value.GetToken().Position.Offset == t.Position.Offset }); key != nil {
			fe.Field = key.String()
		}
	}
	var unknown *yaml.UnknownFieldError
	var mismatch *yaml.TypeError
	switch {
	case errors.As(err, &unknown):
		fe.Field, fe.Value, fe.Remedy = fe.Value, "", "unknown key: remove it or mend its spelling"
	case errors.As(err, &mismatch) && mismatch.DstType == reflect.TypeFor[time.Duration]():
		fe.Remedy = "write a length with its unit, such as 610ms or 30s"
	case errors.As(err, &mismatch):
		fe.Remedy = "write a value of type " + mismatch.DstType.String()
	}
	return fe
}

// addressError adds the line and the field of an invalid address to fe, if err is about one. The YAML library's error has no
// position, so addressError looks for the scalar that gives the same error when it is parsed as an address.
func addressError(fe *FieldError, node ast.Node, err error) *FieldError {
	key := keyOf(node, func(value ast.Node) bool {
		_, parseErr := netip.ParseAddrPort(value.GetToken().Value)
		return parseErr != nil && strings.Contains(err.Error(), parseErr.Error())
	})
	if key != nil {
		fe.Line, fe.Field = key.GetToken().Position.Line, key.String()
		fe.Remedy = "write an IP address and port, such as 127.0.0.1:8081"
	}
	return fe
}

// keyOf returns the first key of the document whose value matches, or nil.
func keyOf(node ast.Node, match func(value ast.Node) bool) ast.MapKeyNode {
	var found ast.MapKeyNode
	ast.Walk(visitorFunc(func(n ast.Node) {
		if mv, ok := n.(*ast.MappingValueNode); ok && found == nil && match(mv.Value) {
			found = mv.Key
		}
	}), node)
	return found
}

type visitorFunc func(ast.Node)

// Visit calls f for the node and continues with its children.
func (f visitorFunc) Visit(n ast.Node) ast.Visitor {
	f(n)
	return f
}

// lineOf returns the line of the field at path or, if the document lacks it, the line of its nearest parent that is present.
func lineOf(node ast.Node, path string) int {
	for path != "" {
		p, err := yaml.PathString("$." + path)
		if err == nil {
			if at, err := p.FilterNode(node); err == nil && at != nil {
				return at.GetToken().Position.Line
			}
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			break
		}
		path = path[:i]
	}
	return node.GetToken().Position.Line
}
