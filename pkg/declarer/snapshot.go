package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Snapshot is the complete set of declarations of one revision, each kind sorted by name.
type Snapshot struct {
	Accounts  []Account  `json:"accounts"`
	Models    []Model    `json:"models"`
	Services  []Service  `json:"services"`
	Endpoints []Endpoint `json:"endpoints"`
	Regions   []Region   `json:"regions"`
	Links     []Link     `json:"links"`
	Presets   []Preset   `json:"presets"`
}

// NewSnapshot returns a snapshot of the declarations.
func NewSnapshot(all []Declaration) Snapshot {
	s := Snapshot{}
	for _, d := range all {
		switch d := d.(type) {
		case *Account:
			s.Accounts = append(s.Accounts, *d)
		case *Model:
			s.Models = append(s.Models, *d)
		case *Service:
			s.Services = append(s.Services, *d)
		case *Endpoint:
			s.Endpoints = append(s.Endpoints, *d)
		case *Region:
			s.Regions = append(s.Regions, *d)
		case *Link:
			s.Links = append(s.Links, *d)
		case *Preset:
			s.Presets = append(s.Presets, *d)
		}
	}
	s.sort()
	return s
}

func (s *Snapshot) sort() {
	sortByID(s.Accounts)
	sortByID(s.Models)
	sortByID(s.Services)
	sortByID(s.Endpoints)
	sortByID(s.Regions)
	sortByID(s.Links)
	sortByID(s.Presets)
}

func sortByID[T Declaration](list []T) {
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(a.ID(), b.ID()) })
}

// All returns every declaration, in a fixed order of kinds and by name within a kind.
func (s Snapshot) All() []Declaration {
	all := []Declaration{}
	all = appendAll(all, s.Accounts)
	all = appendAll(all, s.Models)
	all = appendAll(all, s.Services)
	all = appendAll(all, s.Endpoints)
	all = appendAll(all, s.Regions)
	all = appendAll(all, s.Links)
	return appendAll(all, s.Presets)
}

func appendAll[T Declaration](all []Declaration, list []T) []Declaration {
	for _, d := range list {
		all = append(all, d)
	}
	return all
}

// Encode returns the snapshot as JSON and the hex SHA-256 hash of it, which names the object that holds it in the store.
func (s Snapshot) Encode() ([]byte, string, error) {
	s.sort()
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode snapshot")
	}
	sum := sha256.Sum256(raw)
	return raw, hex.EncodeToString(sum[:]), nil
}

// HashMismatchError reports that the bytes of a snapshot do not have the hash that names it.
type HashMismatchError struct {
	Want, Got string
}

// Error states both hashes.
func (e *HashMismatchError) Error() string {
	return "snapshot has hash " + e.Got + ", want " + e.Want
}

// Decode decodes a snapshot whose bytes must have the hash; it returns a *HashMismatchError if they don't.
func Decode(raw []byte, hash string) (Snapshot, error) {
	s := Snapshot{}
	sum := sha256.Sum256(raw)
	if got := hex.EncodeToString(sum[:]); got != hash {
		return s, &HashMismatchError{Want: hash, Got: got}
	}
	return s, errors.Wrap(json.Unmarshal(raw, &s), "decode snapshot")
}

// Preset returns the preset of that name, and whether it is declared.
func (s Snapshot) Preset(name string) (Preset, bool) { return find(s.Presets, name) }

// Model returns the model of that name, and whether it is declared.
func (s Snapshot) Model(name string) (Model, bool) { return find(s.Models, name) }

// Service returns the service of that name, and whether it is declared.
func (s Snapshot) Service(name string) (Service, bool) { return find(s.Services, name) }

// Endpoint returns the endpoint of that name, and whether it is declared.
func (s Snapshot) Endpoint(name string) (Endpoint, bool) { return find(s.Endpoints, name) }

// Account returns the account of that name, and whether it is declared.
func (s Snapshot) Account(name string) (Account, bool) { return find(s.Accounts, name) }

func find[T Declaration](list []T, name string) (T, bool) {
	i, ok := slices.BinarySearchFunc(list, name, func(d T, name string) int { return strings.Compare(d.ID(), name) })
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// Route returns the service's route for the method with the longest path that is a prefix of path, and whether there is one.
func (s Service) Route(method, path string) (Route, bool) {
	best, ok := Route{}, false
	for _, r := range s.Routes {
		if r.Method == method && isPathPrefix(r.Path, path) && len(r.Path) > len(best.Path) {
			best, ok = r, true
		}
	}
	return best, ok
}

// isPathPrefix reports whether path is prefix or lies below it, by whole path segments.
func isPathPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
