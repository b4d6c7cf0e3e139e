package jsonc

import "github.com/bronzemast/bronzemast/finding"

// Positive is a field whose value must be greater than 0.
type Positive struct {
	Field string
	Value float64
}

// RequirePositive adds a finding for each field that is not greater than 0.
func (d *Document) RequirePositive(findings *finding.List, fields ...Positive) {
	for _, f := range fields {
		if f.Value <= 0 {
			findings.Errorf(d.Place(f.Field), "must be above 0")
		}
	}
}

// NonNegative is a field whose value must be 0 or greater.
type NonNegative struct {
	Field string
	Value float64
}

// RequireNonNegative adds a finding for each field that is less than 0.
func (d *Document) RequireNonNegative(findings *finding.List, fields ...NonNegative) {
	for _, f := range fields {
		if f.Value < 0 {
			findings.Errorf(d.Place(f.Field), "must not be below 0")
		}
	}
}
