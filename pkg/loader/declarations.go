package loader

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

// constructors maps each kind, as written in files, to a function that returns an empty declaration of it.
var constructors = map[string]func() declarer.Declaration{
	"account":  func() declarer.Declaration { return &declarer.Account{} },
	"model":    func() declarer.Declaration { return &declarer.Model{} },
	"service":  func() declarer.Declaration { return &declarer.Service{} },
	"endpoint": func() declarer.Declaration { return &declarer.Endpoint{} },
	"region":   func() declarer.Declaration { return &declarer.Region{} },
	"link":     func() declarer.Declaration { return &declarer.Link{} },
	"preset":   func() declarer.Declaration { return &declarer.Preset{} },
}

// File is a file of declarations; the command line sends its JSON form to a VM.
type File struct {
	Name string `json:"name"`
	Text []byte `json:"text"`
}

// location is the file and the YAML node of a declaration.
type location struct {
	file string
	node ast.Node
}

// ReadDir reads every .yaml and .yml file of dir, in the order of their names.
func ReadDir(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read declarations")
	}
	files := []File{}
	for _, e := range entries {
		if ext := filepath.Ext(e.Name()); e.IsDir() || (ext != ".yaml" && ext != ".yml") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read declarations")
		}
		files = append(files, File{Name: e.Name(), Text: text})
	}
	if len(files) == 0 {
		return nil, errors.Errorf("%s holds no .yaml file: name the folder with the declarations", dir)
	}
	return files, nil
}

// Parse validates the files and returns their declarations as a snapshot. Invalid fields are returned together as a
// *FieldErrors.
func Parse(files []File) (declarer.Snapshot, error) {
	p := &declarationParser{locations: map[string]location{}}
	for _, f := range files {
		p.parseFile(f)
	}
	snapshot := declarer.NewSnapshot(p.all)
	if len(p.errs.Errors) == 0 {
		p.checkReferences(snapshot)
	}
	return snapshot, p.errs.orNil()
}

// declarationParser collects the declarations and the errors of a set of files.
type declarationParser struct {
	all []declarer.Declaration
	// locations holds where each declaration was found, by kind and name.
	locations map[string]location
	errs      FieldErrors
}

func (p *declarationParser) parseFile(f File) {
	tree, err := parser.ParseBytes(f.Text, 0)
	if err != nil {
		fe := &FieldError{File: f.Name, Line: 1, Field: "document", Remedy: err.Error()}
		if ye := yaml.Error(nil); errors.As(err, &ye) && ye.GetToken() != nil {
			fe.Line, fe.Remedy = ye.GetToken().Position.Line, ye.GetMessage()
		}
		p.errs.add(fe)
		return
	}
	for _, doc := range tree.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.NullType && doc.Body.Type() != ast.CommentType {
			p.parseDocument(f.Name, doc.Body)
		}
	}
}

func (p *declarationParser) parseDocument(file string, node ast.Node) {
	head := struct {
		Kind string `yaml:"kind"`
	}{}
	if reportExtraSyntax(file, node, &p.errs) {
		return
	}
	if err := decodeNode(node, &head); err != nil {
		p.errs.add(syntaxError(file, node, err))
		return
	}
	construct, ok := constructors[head.Kind]
	if !ok {
		p.errs.add(&FieldError{
			File: file, Line: lineOf(node, "kind"), Field: "kind", Value: head.Kind,
			Remedy: "use one of: account endpoint link model preset region service",
		})
		return
	}
	d := construct()
	before := len(p.errs.Errors)
	decodeStrict(NewValidator(), file, node, d, &p.errs)
	if len(p.errs.Errors) > before {
		return
	}
	key := d.Kind() + "/" + d.ID()
	if first, ok := p.locations[key]; ok {
		p.errs.add(&FieldError{
			File: file, Line: lineOf(node, "name"), Field: "name", Value: d.ID(),
			Remedy: "rename it: " + first.file + " has a " + d.Kind() + " of this name already",
		})
		return
	}
	p.locations[key] = location{file: file, node: node}
	p.all = append(p.all, d)
}

// checkReferences reports references to names that are not declared, and violations of the rules that span declarations: there
// is a preset, at most one region holds the store, and no two accounts share a key.
func (p *declarationParser) checkReferences(s declarer.Snapshot) {
	for _, e := range s.Endpoints {
		p.checkEndpoint(s, e)
	}
	for _, l := range s.Links {
		for _, name := range l.Regions {
			p.checkRegion(s, l, "regions", name)
		}
	}
	if len(s.Presets) == 0 {
		p.errs.add(&FieldError{File: "declarations", Line: 0, Field: "preset", Remedy: "declare at least one preset"})
	}
	storeRegions := slices.DeleteFunc(slices.Clone(s.Regions), func(r declarer.Region) bool { return !r.HoldsStore })
	if len(storeRegions) > 1 {
		p.addAt(storeRegions[1], "holdsStore", "true", "only one region holds the store; "+storeRegions[0].Name+" does already")
	}
	p.checkKeysUnique(s)
}

func (p *declarationParser) checkEndpoint(s declarer.Snapshot, e declarer.Endpoint) {
	for _, name := range e.Models {
		if _, ok := s.Model(name); !ok {
			p.addAt(e, "models", name, "declare a model of this name or mend the spelling")
		}
	}
	if _, ok := s.Service(e.Service); e.Service != "" && !ok {
		p.addAt(e, "service", e.Service, "declare a service of this name or mend the spelling")
	}
	region, ok := p.checkRegion(s, e, "region", e.Region)
	if ok && !slices.Contains(region.AvailabilityZones, e.AvailabilityZone) {
		p.addAt(e, "availabilityZone", e.AvailabilityZone, "region "+e.Region+" has no such availability zone")
	}
}

func (p *declarationParser) checkRegion(s declarer.Snapshot, d declarer.Declaration, field, name string) (declarer.Region, bool) {
	i := slices.IndexFunc(s.Regions, func(r declarer.Region) bool { return r.Name == name })
	if i < 0 {
		p.addAt(d, field, name, "declare a region of this name or mend the spelling")
		return declarer.Region{}, false
	}
	return s.Regions[i], true
}

func (p *declarationParser) checkKeysUnique(s declarer.Snapshot) {
	owner := map[string]string{}
	for _, a := range s.Accounts {
		for _, h := range a.KeyHashes {
			if other, ok := owner[h]; ok {
				p.addAt(a, "keyHashes", h, "account "+other+" has this key already: give each account its own")
			}
			owner[h] = a.Name
		}
	}
}

// addAt adds an error at the line of the declaration's field.
func (p *declarationParser) addAt(d declarer.Declaration, field, value, remedy string) {
	at := p.locations[d.Kind()+"/"+d.ID()]
	p.errs.add(&FieldError{File: at.file, Line: lineOf(at.node, field), Field: field, Value: value, Remedy: remedy})
}
