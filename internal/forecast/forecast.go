// Package forecast tells from a record of demand when a cluster will be
// crowded. It is pure: a record goes in, a guess with its spread comes out.
package forecast

import "math"

// History is demand by bucket of time; buckets count from a fixed start.
type History map[int64]float64

// Prediction is a forecast of one bucket.
type Prediction struct {
	Mean   float64
	Spread float64
	Days   int // how many days it rests on
}

// DayShape says how buckets form days.
type DayShape struct {
	BucketsPerDay int64 // buckets in a day
	MinDays       int   // days of record without which there is no forecast
}

// dayWeights of the days before, the newest first.
var dayWeights = []float64{0.4, 0.25, 0.15, 0.1, 0.06, 0.04}

// typicalDemand is what earlier days showed around this time of day: neighbours are
// drawn in, since a rush begins a little sooner or later each day.
func typicalDemand(history History, bucket, now int64, shape DayShape) (mean, spread float64, days int) {
	return typicalDemandWeighted(history, bucket, now, shape, []float64{1, 2, 1})
}

// typicalDemandWeighted is usual with the weights by which neighbours are drawn in; their
// middle one is that of the bucket itself.
func typicalDemandWeighted(history History, bucket, now int64, shape DayShape, neighbourWeights []float64) (mean, spread float64, days int) {
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

// recentBuckets is how many buckets tell how today compares with other days.
const recentBuckets = 8

// Predict guesses the demand some buckets ahead of now. Little history gives
// no forecast: the second value is false.
func Predict(history History, now, ahead int64, shape DayShape) (Prediction, bool) {
	mean, spread, days := typicalDemand(history, now+ahead, now, shape)
	if days < max(shape.MinDays, 1) {
		return Prediction{Days: days}, false
	}
	actual, expected := 0.0, 0.0
	for bucket := now - recentBuckets + 1; bucket <= now; bucket++ {
		// Why the nearest of three buckets, each by itself: a rush that comes
		// a bucket later than yesterday's would make today seem so calm that
		// it is not believed at all.
		demand, ok := history[bucket]
		nearest, found := 0.0, false
		for offset := int64(-1); ok && offset <= 1; offset++ {
			if typical, _, seenDays := typicalDemandWeighted(history, bucket+offset, bucket-1, shape, []float64{1}); seenDays > 0 && (!found || math.Abs(typical-demand) < math.Abs(nearest-demand)) {
				nearest, found = typical, true
			}
		}
		if found {
			actual += demand
			expected += nearest
		}
	}
	// Why damped: part of what is unusual now has passed by then.
	scale := 1.0
	if expected > 0 && actual > 0 {
		scale = math.Pow(min(max(actual/expected, 0.25), 4), math.Exp(-float64(ahead)/12)*0.8)
	}
	return Prediction{Mean: mean * scale, Spread: max(spread*scale, 0.05*mean*scale), Days: days}, true
}

// FirstCrowded tells whether a bucket within the horizon is foreseen above a limit
// with some certainty, and which is the first.
func FirstCrowded(history History, now, horizon int64, limit float64, shape DayShape) (int64, Prediction, bool) {
	for ahead := int64(1); ahead <= horizon; ahead++ {
		prediction, ok := Predict(history, now, ahead, shape)
		// Why less the spread: nothing is moved on a weak forecast.
		if ok && prediction.Mean-0.5*prediction.Spread > limit {
			return ahead, prediction, true
		}
	}
	return 0, Prediction{}, false
}

// FreeCapacity is the room that stays free through the horizon, by the upper side of
// the guesses; false if that isn't known.
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
