package pace

import "math"

// Regression holds the sums of a linear regression of y on x. The zero value has no observation.
type Regression struct {
	// Count is the number of observations; it has fractions after a decay.
	Count float64
	// X, Y, XX, XY and YY are the sums over all observations.
	X, Y, XX, XY, YY float64
}

// Add adds one observation.
func (regression *Regression) Add(x, y float64) {
	regression.Count++
	regression.X += x
	regression.Y += y
	regression.XX += x * x
	regression.XY += x * y
	regression.YY += y * y
}

// Plus returns the sums of both.
func (regression Regression) Plus(other Regression) Regression {
	regression.Count += other.Count
	regression.X += other.X
	regression.Y += other.Y
	regression.XX += other.XX
	regression.XY += other.XY
	regression.YY += other.YY
	return regression
}

// Scaled returns the sums with the weight of all observations multiplied by the factor.
func (regression Regression) Scaled(factor float64) Regression {
	regression.Count *= factor
	regression.X *= factor
	regression.Y *= factor
	regression.XX *= factor
	regression.XY *= factor
	regression.YY *= factor
	return regression
}

// within returns the sums of squares of deviations from the means.
func (regression Regression) within() (xx, xy, yy float64) {
	if regression.Count <= 0 {
		return 0, 0, 0
	}
	meanX, meanY := regression.X/regression.Count, regression.Y/regression.Count
	return max(regression.XX-regression.X*meanX, 0), regression.XY - regression.X*meanY, max(regression.YY-regression.Y*meanY, 0)
}

// level returns the mean of y at x = 0, for the slope.
func (regression Regression) level(slope float64) float64 {
	return (regression.Y - slope*regression.X) / regression.Count
}

// IsFinite reports whether no sum is infinite or not a number.
func (regression Regression) IsFinite() bool {
	sum := regression.Count + regression.X + regression.Y + regression.XX + regression.XY + regression.YY
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}
