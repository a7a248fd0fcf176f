package capacity

import (
	"bytes"
	"os"

	"go.yaml.in/yaml/v3"
)

// Point is one measurement: the figure Y at the size X.
type Point struct {
	X float64 `yaml:"x"`
	Y float64 `yaml:"y"`
}

// Slope is a figure that was measured at several sizes, to be fitted by a line.
type Slope struct {
	Name     string  `yaml:"name"`
	Command  string  `yaml:"command"` // that measured the points
	Variable string  `yaml:"of"`      // what X counts
	Unit     string  `yaml:"unit"`    // of Y
	Points   []Point `yaml:"points"`
}

// Size is the fleet size and its bounds, for which the figures are estimated.
type Size struct {
	Nodes                  float64 `yaml:"nodes"`
	Targets                float64 `yaml:"servers"`
	QueriesPerSecond       float64 `yaml:"queries"`
	FanOut                 float64 `yaml:"fanOut"` // targets per query
	FailureDomains         float64 `yaml:"domains"`
	ChangesPerDay          float64 `yaml:"changes"` // of the configuration
	BurstChangesPerSecond  float64 `yaml:"burst"`
	RestartsPerDay         float64 `yaml:"restarts"` // including failures
	TailSeconds            float64 `yaml:"tailSeconds"`
	ControlCores           float64 `yaml:"controlCores"`
	ControlBytesPerSecond  float64 `yaml:"controlBytes"`
	ControlMemoryBytes     float64 `yaml:"controlMemory"`
	InForceSeconds         float64 `yaml:"inForce"`
	ConnectionsPerTarget   float64 `yaml:"connections"` // smallest limit of any target
	PlatformReadsPerSecond float64 `yaml:"platformReads"`
}

// Inputs holds the measured slopes and the fleet size to estimate for.
type Inputs struct {
	Size   Size    `yaml:"size"`
	Slopes []Slope `yaml:"slopes"`
}

// Read reads the inputs from a YAML file; an unknown field is an error.
func Read(path string) (Inputs, error) {
	var inputs Inputs
	data, err := os.ReadFile(path)
	if err != nil {
		return inputs, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	return inputs, decoder.Decode(&inputs)
}

// slopeNamed returns a slope by name. A slope that was not measured has no points, so that its estimates are 0.
func (inputs Inputs) slopeNamed(name string) Slope {
	for _, slope := range inputs.Slopes {
		if slope.Name == name {
			return slope
		}
	}
	return Slope{Name: name}
}

// Fit returns the intercept and the gradient of the least-squares line through the points. A single point gives a constant.
func (slope Slope) Fit() (intercept, gradient float64) {
	count := float64(len(slope.Points))
	if count == 0 {
		return 0, 0
	}
	var x, y, xx, xy float64
	for _, point := range slope.Points {
		x, y = x+point.X, y+point.Y
		xx, xy = xx+point.X*point.X, xy+point.X*point.Y
	}
	denominator := count*xx - x*x
	if denominator == 0 {
		return y / count, 0
	}
	gradient = (count*xy - x*y) / denominator
	return (y - gradient*x) / count, gradient
}

// Estimate returns the figure that a slope's line gives at the size x, 0 if that is negative.
func (inputs Inputs) Estimate(name string, x float64) float64 {
	intercept, gradient := inputs.slopeNamed(name).Fit()
	return max(0, intercept+gradient*x)
}
