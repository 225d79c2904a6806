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

// This file owns the values that more than one block has: times and sizes
// with units, numbers within bounds, names and lists.

// attributeReader reads attributes of blocks and collects their errors. Its methods leave a target as it is if
// the attribute is nil: it holds the default.
type attributeReader struct{ diags hcl.Diagnostics }

// failed says whether there was an error.
func (r *attributeReader) failed() bool { return r.diags.HasErrors() }

// errorf adds an error about a place of the file.
func (r *attributeReader) errorf(at hcl.Range, format string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at})
}

// value evaluates an attribute, which must have the wanted type.
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

// duration reads a time such as "250ms" or "1m30s" of at least 0.
func (r *attributeReader) duration(a *hcl.Attribute, to *rules.Time) {
	v, ok := r.value(a, cty.String)
	if !ok {
		return
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil || d < 0 || d != d.Truncate(time.Microsecond) {
		r.errorf(a.Expr.Range(), "%s: %q is no time; a number with a unit is: us, ms, s, m, h", a.Name, v.AsString())
		return
	}
	*to = rules.Time(d / time.Microsecond)
}

var sizeUnits = []struct {
	name string
	n    float64
}{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}}

// size reads a number of bytes such as "64KB" or "1.5MB", in powers of 1,024.
func (r *attributeReader) size(a *hcl.Attribute, least, most int64, to *int64) {
	v, ok := r.value(a, cty.String)
	if !ok {
		return
	}
	n, err := parseSize(v.AsString())
	switch {
	case err != nil:
		r.errorf(a.Expr.Range(), "%s: %v", a.Name, err)
	case n < least || n > most:
		r.errorf(a.Expr.Range(), "%s: %s is not within %s and %s", a.Name, v.AsString(), formatSize(least), formatSize(most))
	default:
		*to = n
	}
}

func parseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || !(n >= 0) || n*u.n > math.MaxInt64/2 {
			break
		}
		return int64(n * u.n), nil
	}
	return 0, fmt.Errorf("%q is no size; a number with a unit is: B, KB, MB, GB", text)
}

func formatSize(n int64) string {
	for _, u := range sizeUnits {
		if f := float64(n) / u.n; f >= 1 && f == math.Trunc(f) {
			return strconv.FormatFloat(f, 'f', -1, 64) + u.name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

func formatTime(t rules.Time) string { return (time.Duration(t) * time.Microsecond).String() }

// number reads a number within bounds.
func (r *attributeReader) number(a *hcl.Attribute, least, most float64, to *float64) {
	v, ok := r.value(a, cty.Number)
	if !ok {
		return
	}
	f, _ := v.AsBigFloat().Float64()
	if !(f >= least && f <= most) {
		r.errorf(a.Expr.Range(), "%s: %v is not within %v and %v", a.Name, f, least, most)
		return
	}
	*to = f
}

// count reads a whole number within bounds.
func (r *attributeReader) count(a *hcl.Attribute, least, most int, to *int) {
	v, ok := r.value(a, cty.Number)
	if !ok {
		return
	}
	n, accuracy := v.AsBigFloat().Int64()
	if accuracy != big.Exact || n < int64(least) || n > int64(most) {
		r.errorf(a.Expr.Range(), "%s: %s is no whole number within %d and %d", a.Name, v.AsBigFloat().Text('g', 10), least, most)
		return
	}
	*to = int(n)
}

func (r *attributeReader) flag(a *hcl.Attribute, to *bool) {
	if v, ok := r.value(a, cty.Bool); ok {
		*to = v.True()
	}
}

// text reads a string. Characters that HCL would expand are an error, so that what String writes can be read again.
func (r *attributeReader) text(a *hcl.Attribute, to *string) {
	if v, ok := r.value(a, cty.String); ok {
		*to = v.AsString()
		if strings.ContainsAny(*to, "\"\\$%\n") {
			r.errorf(a.Expr.Range(), "%s holds quotes, backslashes, $ or %%", a.Name)
		}
	}
}

// list returns the elements of a list, or ok false if the attribute is nil or no list; then the error says what must be
// written instead.
func (r *attributeReader) list(a *hcl.Attribute, must string) (elements []hcl.Expression, ok bool) {
	if a == nil {
		return nil, false
	}
	elements, diags := hcl.ExprList(a.Expr)
	if diags.HasErrors() {
		r.errorf(a.Expr.Range(), "%s must be %s", a.Name, must)
		return nil, false
	}
	return elements, true
}

// stringList reads a list of strings, each with its place. It is nil if there is no attribute, else at least empty.
func (r *attributeReader) stringList(a *hcl.Attribute) (out []stringAt) {
	elements, ok := r.list(a, "a list of strings")
	if !ok {
		return nil
	}
	out = []stringAt{}
	for _, e := range elements {
		v, diags := e.Value(nil)
		if diags.HasErrors() || v.IsNull() || v.Type() != cty.String {
			r.errorf(e.Range(), "%s holds something that is no string", a.Name)
			continue
		}
		out = append(out, stringAt{v.AsString(), e.Range()})
	}
	return out
}

// stringLists reads a list of lists of strings.
func (r *attributeReader) stringLists(a *hcl.Attribute) (out [][]stringAt) {
	elements, _ := r.list(a, `a list of lists, a tier each: [["near"], ["far", "farther"]]`)
	for _, e := range elements {
		out = append(out, r.stringList(&hcl.Attribute{Name: a.Name + ": each tier", Expr: e, Range: e.Range()}))
	}
	return out
}

// checkName checks a name that the file declares. Quotes and characters that HCL would expand are errors, so that what
// String writes can be read again.
func (r *attributeReader) checkName(name, what string, at hcl.Range) {
	bad := func(c rune) bool { return !unicode.IsPrint(c) || strings.ContainsRune("\"\\$%", c) }
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) || strings.ContainsFunc(name, bad) {
		r.errorf(at, "%s %.40q: a name holds 1 to %d bytes of text without quotes, backslashes, $ and %%", what, name, maxNameBytes)
	}
}

const maxNameBytes = 128

type stringAt struct {
	text string
	at   hcl.Range
}

// closestName returns the name that an unknown one was probably meant to be, or an empty string.
func closestName(name string, of []string) string {
	best, least := "", max(len(name)/3, 1)+1
	for _, o := range of {
		if n := editDistance(strings.ToLower(name), strings.ToLower(o)); n < least {
			best, least = o, n
		}
	}
	return best
}

// editDistance is the number of letters to insert, drop or change (Levenshtein).
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			n := last
			if a[i] != b[j] {
				n++
			}
			last = row[j+1]
			row[j+1] = min(n, last+1, row[j]+1)
		}
	}
	return row[len(b)]
}
