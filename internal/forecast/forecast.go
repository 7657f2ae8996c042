// Package forecast predicts from a cluster's demand history when the cluster will be
// overloaded.
//
// Its functions are pure: they compute a prediction and its spread from a history, and
// keep no state. Package federation stores the history and acts on the predictions. The
// tests compare the method with simpler ones; docs/forecast.md has the results.
package forecast

import "math"

// History is demand by time bucket, in any unit. Buckets are numbered from a fixed
// start.
type History map[int64]float64

// Prediction is the predicted demand of one bucket, in the unit of the History.
type Prediction struct {
	Mean   float64
	Spread float64 // standard deviation over the days used, at least a twentieth of the mean
	Days   int     // number of days used
}

// DayShape describes the division of time into days and buckets.
type DayShape struct {
	BucketsPerDay int64
	MinDays       int // minimum days of history for a prediction
}

// dayWeights are the weights of previous days, the most recent first.
var dayWeights = []float64{0.4, 0.25, 0.15, 0.1, 0.06, 0.04}

// Weights of the buckets around a time of day. The middle weight is that of the bucket
// itself.
var (
	singleBucketWeights = []float64{1}
	neighborhoodWeights = []float64{1, 2, 1}
)

const (
	// recentBuckets is the number of buckets over which today is compared with previous days.
	recentBuckets = 8
	// minScale and maxScale bound the ratio of today's demand to that of previous days.
	minScale, maxScale = 0.25, 4
	// initialScaleExponent is the exponent that damps this ratio for a prediction of the
	// current bucket. The exponent falls by a factor of e for each scaleDecayBuckets ahead.
	initialScaleExponent = 0.8
	scaleDecayBuckets    = 12
	// minRelativeSpread is the minimum spread as a fraction of the mean.
	minRelativeSpread = 0.05
	// overloadMarginSpreads is the number of spreads subtracted from a predicted mean before it
	// is compared with the overload limit, so that no work is moved on an uncertain prediction.
	overloadMarginSpreads = 0.5
)

// typicalDemand returns the weighted mean and the standard deviation of the demand of
// previous days around a bucket's time of day, and the number of days used. It uses only
// buckets up to now. Neighboring buckets are included with their weights, since a daily
// peak begins a little earlier or later each day.
func typicalDemand(
	history History, bucket, now int64, shape DayShape, bucketWeights []float64,
) (mean, spread float64, days int) {
	weightedSum, totalWeight := 0.0, 0.0
	var dayMeans []float64
	for day, weight := range dayWeights {
		base := bucket - int64(day+1)*shape.BucketsPerDay
		for base > now {
			base -= shape.BucketsPerDay
		}
		value, usedWeight := 0.0, 0.0
		for offset, factor := range bucketWeights {
			neighbor := base + int64(offset-len(bucketWeights)/2)
			if demand, ok := history[neighbor]; ok && neighbor <= now {
				value += demand * factor
				usedWeight += factor
			}
		}
		if usedWeight == 0 {
			continue
		}
		dayMeans = append(dayMeans, value/usedWeight)
		weightedSum += weight * value / usedWeight
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

// Predict predicts the demand in the bucket that is ahead buckets after now. It returns
// false if the history has too few days.
func Predict(history History, now, ahead int64, shape DayShape) (Prediction, bool) {
	mean, spread, days := typicalDemand(history, now+ahead, now, shape, neighborhoodWeights)
	if days < max(shape.MinDays, 1) {
		return Prediction{Days: days}, false
	}
	scale := todayScale(history, now, ahead, shape)
	return Prediction{Mean: mean * scale, Spread: max(spread*scale, minRelativeSpread*mean*scale), Days: days}, true
}

// todayScale returns the expected ratio of today's demand to that of previous days, ahead
// buckets after now. It is the ratio over the recent buckets, damped because part of the
// current deviation will have passed by then.
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
	return math.Pow(min(max(actual/expected, minScale), maxScale),
		math.Exp(-float64(ahead)/scaleDecayBuckets)*initialScaleExponent)
}

// nearestTypical returns the typical demand nearest to the actual demand, among those of
// the bucket and of each of its two neighbors; false if none is known. If it used the
// bucket alone, a daily peak that comes one bucket later than yesterday's would make
// today's demand look so low that the peak isn't predicted at all.
func nearestTypical(history History, bucket int64, demand float64, shape DayShape) (nearest float64, found bool) {
	for offset := int64(-1); offset <= 1; offset++ {
		typical, _, days := typicalDemand(history, bucket+offset, bucket-1, shape, singleBucketWeights)
		if days > 0 && (!found || math.Abs(typical-demand) < math.Abs(nearest-demand)) {
			nearest, found = typical, true
		}
	}
	return nearest, found
}

// FirstOverload returns the first bucket within the horizon that is predicted to be
// overloaded, as a number of buckets after now: the mean exceeds the limit by more than
// overloadMarginSpreads spreads. It returns false if there is none.
func FirstOverload(history History, now, horizon int64, limit float64, shape DayShape) (int64, Prediction, bool) {
	for ahead := int64(1); ahead <= horizon; ahead++ {
		prediction, ok := Predict(history, now, ahead, shape)
		if ok && prediction.Mean-overloadMarginSpreads*prediction.Spread > limit {
			return ahead, prediction, true
		}
	}
	return 0, Prediction{}, false
}

// FreeCapacity returns the capacity that is predicted to stay free through the horizon:
// the minimum, over the current bucket and those up to the horizon, of the capacity less
// the predicted mean and spread, and at least 0. It returns false if a bucket has no prediction.
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
