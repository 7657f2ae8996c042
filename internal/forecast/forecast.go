// Package forecast tells from a record of demand when a cluster will be crowded.
//
// It is pure: a record goes in, a prediction with its spread comes out. It keeps
// nothing and acts on nothing; package federation does. How it compares with simpler
// methods is measured by its tests and stands in docs/forecast.md.
package forecast

import "math"

// History is demand by bucket of time, in any one unit; buckets count from a fixed
// start.
type History map[int64]float64

// Prediction is the predicted demand of one bucket, in the unit of the History.
type Prediction struct {
	Mean   float64
	Spread float64 // the standard deviation of the days that it rests on, at least a twentieth of the mean
	Days   int     // how many days it rests on
}

// DayShape says how buckets form days.
type DayShape struct {
	BucketsPerDay int64
	MinDays       int // days of record without which there is no forecast
}

// dayWeights are the weights of the days before, the newest first.
var dayWeights = []float64{0.4, 0.25, 0.15, 0.1, 0.06, 0.04}

// Weights of the buckets around a time of day; the middle one is that of the bucket
// itself.
var (
	bucketAlone   = []float64{1}
	withNeighbour = []float64{1, 2, 1}
)

const (
	// recentBuckets is how many buckets tell how today compares with other days.
	recentBuckets = 8
	// minScale and maxScale bound the ratio of today to other days.
	minScale, maxScale = 0.25, 4
	// scaleShare is the part of that ratio, in its exponent, that is believed at
	// once; it falls by a factor e in scaleDecayBuckets.
	scaleShare        = 0.8
	scaleDecayBuckets = 12
	// minRelativeSpread is the least spread as a part of the mean.
	minRelativeSpread = 0.05
	// cautionSpreads is how many spreads are taken off a prediction before it
	// counts as crowded, so that nothing is moved on a weak one.
	cautionSpreads = 0.5
)

// typicalDemand is what earlier days showed around the time of day of a bucket, by
// what was known at now. Neighbouring buckets count by their weights, since a rush
// begins a little sooner or later each day.
func typicalDemand(history History, bucket, now int64, shape DayShape, neighbourWeights []float64) (mean, spread float64, days int) {
	weightedSum, totalWeight := 0.0, 0.0
	var dayMeans []float64
	for day, weight := range dayWeights {
		base := bucket - int64(day+1)*shape.BucketsPerDay
		for base > now {
			base -= shape.BucketsPerDay
		}
		value, neighbourWeight := 0.0, 0.0
		for offset, factor := range neighbourWeights {
			neighbour := base + int64(offset-len(neighbourWeights)/2)
			if demand, ok := history[neighbour]; ok && neighbour <= now {
				value += demand * factor
				neighbourWeight += factor
			}
		}
		if neighbourWeight == 0 {
			continue
		}
		dayMeans = append(dayMeans, value/neighbourWeight)
		weightedSum += weight * value / neighbourWeight
		totalWeight += weight
	}
	if totalWeight == 0 {
		return 0, 0, 0
	}
	mean = weightedSum / totalWeight
	for _, demand := range dayMeans {
		spread += (demand - mean) * (demand - mean)
	}
	return mean, math.Sqrt(spread / float64(len(dayMeans))), len(dayMeans)
}

// Predict returns the demand some buckets ahead of now. With too little history there
// is no prediction, and the second value is false.
func Predict(history History, now, ahead int64, shape DayShape) (Prediction, bool) {
	mean, spread, days := typicalDemand(history, now+ahead, now, shape, withNeighbour)
	if days < max(shape.MinDays, 1) {
		return Prediction{Days: days}, false
	}
	scale := todayScale(history, now, ahead, shape)
	return Prediction{Mean: mean * scale, Spread: max(spread*scale, minRelativeSpread*mean*scale), Days: days}, true
}

// todayScale is by how much today is likely to differ from other days, some buckets
// ahead of now: the ratio of late, damped since part of what is unusual now will have
// passed by then.
func todayScale(history History, now, ahead int64, shape DayShape) float64 {
	actual, expected := 0.0, 0.0
	for bucket := now - recentBuckets + 1; bucket <= now; bucket++ {
		demand, ok := history[bucket]
		if !ok {
			continue
		}
		if typical, ok := nearestTypical(history, bucket, demand, shape); ok {
			actual += demand
			expected += typical
		}
	}
	if expected <= 0 || actual <= 0 {
		return 1
	}
	return math.Pow(min(max(actual/expected, minScale), maxScale), math.Exp(-float64(ahead)/scaleDecayBuckets)*scaleShare)
}

// nearestTypical is the typical demand of a bucket or of one of its two neighbours,
// each by itself, that is nearest to the actual demand; false if none is known. With
// the bucket alone, a rush that comes a bucket later than yesterday's would make
// today seem so calm that it is not believed at all.
func nearestTypical(history History, bucket int64, demand float64, shape DayShape) (nearest float64, found bool) {
	for offset := int64(-1); offset <= 1; offset++ {
		typical, _, days := typicalDemand(history, bucket+offset, bucket-1, shape, bucketAlone)
		if days > 0 && (!found || math.Abs(typical-demand) < math.Abs(nearest-demand)) {
			nearest, found = typical, true
		}
	}
	return nearest, found
}

// FirstCrowded returns the first bucket within the horizon, counted from now, whose
// demand is predicted above a limit with some certainty; false if there is none.
func FirstCrowded(history History, now, horizon int64, limit float64, shape DayShape) (int64, Prediction, bool) {
	for ahead := int64(1); ahead <= horizon; ahead++ {
		prediction, ok := Predict(history, now, ahead, shape)
		if ok && prediction.Mean-cautionSpreads*prediction.Spread > limit {
			return ahead, prediction, true
		}
	}
	return 0, Prediction{}, false
}

// FreeCapacity is the part of the capacity that stays free through the horizon, by
// the mean and the spread of each prediction; false if that isn't known.
func FreeCapacity(history History, now, horizon int64, capacity float64, shape DayShape) (float64, bool) {
	free := capacity
	for ahead := int64(0); ahead <= horizon; ahead++ {
		prediction, ok := Predict(history, now, ahead, shape)
		if !ok {
			return 0, false
		}
		free = min(free, capacity-prediction.Mean-prediction.Spread)
	}
	return max(free, 0), true
}
