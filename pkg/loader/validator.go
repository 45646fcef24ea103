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

// remedies say for each validation tag how a value must be; %s is the tag's parameter.
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

// NewValidator returns the validator of every file and body that the system reads.
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

// Remedy returns what to do about a field that failed its check.
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

// FieldPath returns the path of the field within its document, as written.
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

// decodeNode decodes a document; a document that the library stumbles over is an error and no panic.
func decodeNode(node ast.Node, into any, opts ...yaml.DecodeOption) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("the document can't be read: %v", r)
		}
	}()
	return yaml.NodeToValue(node, into, opts...)
}

// refusesExtras reports tags, anchors and aliases: declarations need none, and aliases of aliases can grow without end.
func refusesExtras(file string, node ast.Node, errs *FieldErrors) bool {
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

// decodeStrict decodes one document into v and reports each bad field with its line.
func decodeStrict(v *validator.Validate, file string, node ast.Node, into any, errs *FieldErrors) {
	if refusesExtras(file, node, errs) {
		return
	}
	if err := decodeNode(node, into, yaml.Strict()); err != nil {
		errs.add(syntaxError(file, node, err))
		return
	}
	fails := validator.ValidationErrors{}
	if err := v.Struct(into); !errors.As(err, &fails) {
		return
	}
	for _, fe := range fails {
		path := FieldPath(fe)
		value := ""
		if fe.Tag() != "required" {
			value = fmt.Sprint(fe.Value())
		}
		errs.add(&FieldError{File: file, Line: lineOf(node, path), Field: path, Value: value, Remedy: Remedy(fe)})
	}
}

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

// addressError finds the place of a bad address: the library's error has none, so the scalar that gives this same
// error is looked for.
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

// Visit calls the function for the node and goes on below it.
func (f visitorFunc) Visit(n ast.Node) ast.Visitor {
	f(n)
	return f
}

// lineOf returns the line of the field, or of its nearest parent that is written in the document.
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
