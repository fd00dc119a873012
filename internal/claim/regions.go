package claim

import "slices"

// permittedIn returns the outcome as it may enter the given regions: without header and body if one of them is not among
// AllowedRegions. An unknown region, which is empty, is not among them.
func (o Outcome) permittedIn(regions ...string) Outcome {
	if o.AllowedRegions == nil {
		return o
	}
	for _, region := range regions {
		if region == "" || !slices.Contains(o.AllowedRegions, region) {
			return o.stripped()
		}
	}
	return o
}
