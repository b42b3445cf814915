package residency

const (
	// speedWeight is the cost, in seconds, for a busy or latency-sensitive model of an engine that takes twice the mean
	// time. Slower loads from disk are worth that much.
	speedWeight = 1.5
	// idleSpeedWeight is the cost, in seconds, of twice the mean speed for other models, which leave fast engines free.
	idleSpeedWeight = 0.2
)

// speed returns the speed relative to the mean of the service.
func (engine *Engine) speed() float64 {
	if engine.Speed <= 0 {
		return 1
	}
	return engine.Speed
}

// speedCost returns the cost of having the model on the engine for its speed, in seconds; zero at the mean speed.
func (plan *plan) speedCost(engine *Engine, name string) float64 {
	speed := engine.speed()
	if speed == 1 {
		return 0
	}
	if plan.popular(name) || plan.full(name) {
		return speedWeight * (1/speed - 1)
	}
	return idleSpeedWeight * (speed - 1)
}
