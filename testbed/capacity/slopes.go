package capacity

import (
	"bytes"
	"os"

	"go.yaml.in/yaml/v3"
)

// Point is one measurement: a size and the figure at it.
type Point struct {
	X float64 `yaml:"x"`
	Y float64 `yaml:"y"`
}

// Slope is a figure measured at several sizes.
type Slope struct {
	Name    string  `yaml:"name"`
	Command string  `yaml:"command"` // that gave the points
	Of      string  `yaml:"of"`      // what X counts
	Unit    string  `yaml:"unit"`    // of Y
	Points  []Point `yaml:"points"`
}

// Size is the size that the figures are worked out for.
type Size struct {
	Nodes         float64 `yaml:"nodes"`
	Servers       float64 `yaml:"servers"`
	Queries       float64 `yaml:"queries"` // a second
	FanOut        float64 `yaml:"fanOut"`  // servers a query
	Domains       float64 `yaml:"domains"`
	Changes       float64 `yaml:"changes"`  // of the configuration a day
	Burst         float64 `yaml:"burst"`    // changes a second
	Restarts      float64 `yaml:"restarts"` // and failures a day
	TailSeconds   float64 `yaml:"tailSeconds"`
	ControlCores  float64 `yaml:"controlCores"`
	ControlBytes  float64 `yaml:"controlBytes"`
	ControlMemory float64 `yaml:"controlMemory"` // bytes
	InForce       float64 `yaml:"inForce"`       // seconds
	Connections   float64 `yaml:"connections"`   // the fewest that a server accepts
	PlatformReads float64 `yaml:"platformReads"` // a second
}

// Sheet is the file of measured slopes and the size to work them out for.
type Sheet struct {
	Size   Size    `yaml:"size"`
	Slopes []Slope `yaml:"slopes"`
}

// Read reads a sheet.
func Read(path string) (Sheet, error) {
	var sheet Sheet
	data, err := os.ReadFile(path)
	if err != nil {
		return sheet, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	return sheet, decoder.Decode(&sheet)
}

// find returns a slope by name; a slope that was not measured has no points.
func (sheet Sheet) find(name string) Slope {
	for _, slope := range sheet.Slopes {
		if slope.Name == name {
			return slope
		}
	}
	return Slope{Name: name}
}

// Fit returns the line through the points by least squares; one point gives a constant.
func (slope Slope) Fit() (constant, perX float64) {
	count := float64(len(slope.Points))
	if count == 0 {
		return 0, 0
	}
	var x, y, xx, xy float64
	for _, point := range slope.Points {
		x, y = x+point.X, y+point.Y
		xx, xy = xx+point.X*point.X, xy+point.X*point.Y
	}
	spread := count*xx - x*x
	if spread == 0 {
		return y / count, 0
	}
	perX = (count*xy - x*y) / spread
	return (y - perX*x) / count, perX
}

// At returns the fitted figure at a size, not below zero.
func (sheet Sheet) At(name string, x float64) float64 {
	constant, perX := sheet.find(name).Fit()
	return max(0, constant+perX*x)
}
