package site

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"foxlane/rules"
)

// This file reads the types of values that several blocks use: durations and
// sizes with units, bounded numbers, names and lists.

// attributeReader reads attributes of blocks and collects their errors. Its methods leave a target as it is, at its
// default, if the attribute is absent (nil).
type attributeReader struct{ diags hcl.Diagnostics }

// failed reports whether any attribute had an error.
func (r *attributeReader) failed() bool { return r.diags.HasErrors() }

// errorf adds an error at a position in the file.
func (r *attributeReader) errorf(at hcl.Range, format string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at})
}

// value evaluates an attribute. It adds an error if the value is not of the wanted type.
func (r *attributeReader) value(a *hcl.Attribute, want cty.Type) (cty.Value, bool) {
	if a == nil {
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		r.diags = append(r.diags, diags...)
		return v, false
	}
	if !v.IsWhollyKnown() || v.IsNull() || !v.Type().Equals(want) {
		r.errorf(a.Expr.Range(), "%s must be a %s", a.Name, want.FriendlyName())
		return v, false
	}
	return v, true
}

// duration reads a duration such as "250ms" or "1m30s": not negative, and a whole number of microseconds.
func (r *attributeReader) duration(a *hcl.Attribute, target *rules.Time) {
	v, ok := r.value(a, cty.String)
	if !ok {
		return
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil || d < 0 || d != d.Truncate(time.Microsecond) {
		r.errorf(a.Expr.Range(), "%s: %q is not a duration; write a number with a unit: us, ms, s, m, h", a.Name, v.AsString())
		return
	}
	*target = rules.Time(d / time.Microsecond)
}

var sizeUnits = []struct {
	name  string
	bytes float64
}{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}}

// size reads a number of bytes such as "64KB" or "1.5MB", in powers of 1,024.
func (r *attributeReader) size(a *hcl.Attribute, lower, upper int64, target *int64) {
	v, ok := r.value(a, cty.String)
	if !ok {
		return
	}
	n, err := parseSize(v.AsString())
	switch {
	case err != nil:
		r.errorf(a.Expr.Range(), "%s: %v", a.Name, err)
	case n < lower || n > upper:
		r.errorf(a.Expr.Range(), "%s: %s is not between %s and %s", a.Name, v.AsString(), formatSize(lower), formatSize(upper))
	default:
		*target = n
	}
}

func parseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || !(n >= 0) || n*u.bytes > math.MaxInt64/2 {
			break
		}
		return int64(n * u.bytes), nil
	}
	return 0, fmt.Errorf("%q is not a size; write a number with a unit: B, KB, MB, GB", text)
}

func formatSize(n int64) string {
	for _, u := range sizeUnits {
		if f := float64(n) / u.bytes; f >= 1 && f == math.Trunc(f) {
			return strconv.FormatFloat(f, 'f', -1, 64) + u.name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

func formatTime(t rules.Time) string { return (time.Duration(t) * time.Microsecond).String() }

// number reads a number from lower to upper, both included.
func (r *attributeReader) number(a *hcl.Attribute, lower, upper float64, target *float64) {
	v, ok := r.value(a, cty.Number)
	if !ok {
		return
	}
	f, _ := v.AsBigFloat().Float64()
	if !(f >= lower && f <= upper) {
		r.errorf(a.Expr.Range(), "%s: %v is not between %v and %v", a.Name, f, lower, upper)
		return
	}
	*target = f
}

// count reads a whole number from lower to upper, both included.
func (r *attributeReader) count(a *hcl.Attribute, lower, upper int, target *int) {
	v, ok := r.value(a, cty.Number)
	if !ok {
		return
	}
	n, accuracy := v.AsBigFloat().Int64()
	if accuracy != big.Exact || n < int64(lower) || n > int64(upper) {
		r.errorf(a.Expr.Range(), "%s: %s is not a whole number between %d and %d", a.Name, v.AsBigFloat().Text('g', 10), lower, upper)
		return
	}
	*target = int(n)
}

func (r *attributeReader) flag(a *hcl.Attribute, target *bool) {
	if v, ok := r.value(a, cty.Bool); ok {
		*target = v.True()
	}
}

// text reads a string. It rejects characters that HCL would expand, so that Parse accepts the output of Config.String.
func (r *attributeReader) text(a *hcl.Attribute, target *string) {
	if v, ok := r.value(a, cty.String); ok {
		*target = v.AsString()
		if strings.ContainsAny(*target, "\"\\$%\n") {
			r.errorf(a.Expr.Range(), "%s contains quotes, backslashes, $, %% or line breaks", a.Name)
		}
	}
}

// list returns the elements of a list, and false if the attribute is nil or not a list. In the latter case it adds an
// error with want, a description of the list.
func (r *attributeReader) list(a *hcl.Attribute, want string) (elements []hcl.Expression, ok bool) {
	if a == nil {
		return nil, false
	}
	elements, diags := hcl.ExprList(a.Expr)
	if diags.HasErrors() {
		r.errorf(a.Expr.Range(), "%s must be %s", a.Name, want)
		return nil, false
	}
	return elements, true
}

// stringList reads a list of strings with their positions. The result is nil if the attribute is nil or not a list,
// and empty but not nil for an empty list.
func (r *attributeReader) stringList(a *hcl.Attribute) (out []positionedString) {
	elements, ok := r.list(a, "a list of strings")
	if !ok {
		return nil
	}
	out = []positionedString{}
	for _, e := range elements {
		v, diags := e.Value(nil)
		if diags.HasErrors() || v.IsNull() || v.Type() != cty.String {
			r.errorf(e.Range(), "%s contains an element that is not a string", a.Name)
			continue
		}
		out = append(out, positionedString{v.AsString(), e.Range()})
	}
	return out
}

// stringLists reads a list of lists of strings, such as the failover tiers of a zone.
func (r *attributeReader) stringLists(a *hcl.Attribute) (out [][]positionedString) {
	elements, _ := r.list(a, `a list of lists, a tier each: [["near"], ["far", "farther"]]`)
	for _, e := range elements {
		out = append(out, r.stringList(&hcl.Attribute{Name: a.Name + ": each tier", Expr: e, Range: e.Range()}))
	}
	return out
}

// checkName checks a name that the file declares. It rejects quotes and characters that HCL would expand, so that Parse
// accepts the output of Config.String.
func (r *attributeReader) checkName(name, kind string, at hcl.Range) {
	forbidden := func(c rune) bool { return !unicode.IsPrint(c) || strings.ContainsRune("\"\\$%", c) }
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) || strings.ContainsFunc(name, forbidden) {
		r.errorf(at, "%s %.40q: a name must have 1 to %d bytes of printable text without quotes, backslashes, $ and %%", kind, name, maxNameBytes)
	}
}

const maxNameBytes = 128

type positionedString struct {
	text string
	at   hcl.Range
}

// closestName returns the candidate with the smallest edit distance to name. It returns an empty string if the distance
// is over a third of the name's length (and over 1).
func closestName(name string, candidates []string) string {
	closest, minDistance := "", max(len(name)/3, 1)+1
	for _, candidate := range candidates {
		if distance := editDistance(strings.ToLower(name), strings.ToLower(candidate)); distance < minDistance {
			closest, minDistance = candidate, distance
		}
	}
	return closest
}

// editDistance returns the Levenshtein distance of two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			distance := diagonal
			if a[i] != b[j] {
				distance++
			}
			diagonal = row[j+1]
			row[j+1] = min(distance, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
