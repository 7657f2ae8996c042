// Package foresee tells from a record of demand when a cluster will be
// crowded. It is pure: a record goes in, a guess with its spread comes out.
package foresee

import "math"

// Record is demand by bucket of time; buckets count from a fixed start.
type Record map[int64]float64

// Guess is a forecast of one bucket.
type Guess struct {
	Mean   float64
	Spread float64
	Days   int // how many days it rests on
}

// Shape says how buckets form days.
type Shape struct {
	PerDay int64 // buckets in a day
	Least  int   // days of record without which there is no forecast
}

// weights of the days before, the newest first.
var weights = []float64{0.4, 0.25, 0.15, 0.1, 0.06, 0.04}

// usual is what earlier days showed around this time of day: neighbours are
// drawn in, since a rush begins a little sooner or later each day.
func usual(r Record, at, now int64, s Shape) (mean, spread float64, days int) {
	return around(r, at, now, s, []float64{1, 2, 1})
}

// around is usual with the weights by which neighbours are drawn in; their
// middle one is that of the bucket itself.
func around(r Record, at, now int64, s Shape, near []float64) (mean, spread float64, days int) {
	sum, all := 0.0, 0.0
	var seen []float64
	for d, w := range weights {
		b := at - int64(d+1)*s.PerDay
		for b > now {
			b -= s.PerDay
		}
		v, n := 0.0, 0.0
		for o, f := range near {
			place := b + int64(o-len(near)/2)
			if x, ok := r[place]; ok && place <= now {
				v += x * f
				n += f
			}
		}
		if n == 0 {
			continue
		}
		seen = append(seen, v/n)
		sum += w * v / n
		all += w
	}
	if all == 0 {
		return 0, 0, 0
	}
	mean = sum / all
	for _, x := range seen {
		spread += (x - mean) * (x - mean)
	}
	return mean, math.Sqrt(spread / float64(len(seen))), len(seen)
}

// recent is how many buckets tell how today compares with other days.
const recent = 8

// Forecast guesses the demand some buckets ahead of now. Little history gives
// no forecast: the second value is false.
func Forecast(r Record, now, ahead int64, s Shape) (Guess, bool) {
	mean, spread, days := usual(r, now+ahead, now, s)
	if days < max(s.Least, 1) {
		return Guess{Days: days}, false
	}
	had, should := 0.0, 0.0
	for b := now - recent + 1; b <= now; b++ {
		// Why the nearest of three buckets, each by itself: a rush that comes
		// a bucket later than yesterday's would make today seem so calm that
		// it is not believed at all.
		v, ok := r[b]
		near, found := 0.0, false
		for o := int64(-1); ok && o <= 1; o++ {
			if m, _, n := around(r, b+o, b-1, s, []float64{1}); n > 0 && (!found || math.Abs(m-v) < math.Abs(near-v)) {
				near, found = m, true
			}
		}
		if found {
			had += v
			should += near
		}
	}
	// Why damped: part of what is unusual now has passed by then.
	f := 1.0
	if should > 0 && had > 0 {
		f = math.Pow(min(max(had/should, 0.25), 4), math.Exp(-float64(ahead)/12)*0.8)
	}
	return Guess{Mean: mean * f, Spread: max(spread*f, 0.05*mean*f), Days: days}, true
}

// Crowded tells whether a bucket within the horizon is foreseen above a limit
// with some certainty, and which is the first.
func Crowded(r Record, now, horizon int64, limit float64, s Shape) (int64, Guess, bool) {
	for a := int64(1); a <= horizon; a++ {
		g, ok := Forecast(r, now, a, s)
		// Why less the spread: nothing is moved on a weak forecast.
		if ok && g.Mean-0.5*g.Spread > limit {
			return a, g, true
		}
	}
	return 0, Guess{}, false
}

// Free is the room that stays free through the horizon, by the upper side of
// the guesses; false if that isn't known.
func Free(r Record, now, horizon int64, room float64, s Shape) (float64, bool) {
	free := room
	for a := int64(0); a <= horizon; a++ {
		g, ok := Forecast(r, now, a, s)
		if !ok {
			return 0, false
		}
		free = min(free, room-g.Mean-g.Spread)
	}
	return max(free, 0), true
}
