package runtimes

import "math"

// moments are the decayed moments of the logarithms of estimates (x) and run times (y).
type moments struct {
	weight, meanX, meanY float64
	// sumXX, sumXY and sumYY are sums of products of the distances from the means.
	sumXX, sumXY, sumYY float64
}

// add adds a run. What was added before decays by e in a number of runs.
func (m *moments) add(x, y, weight, window float64) {
	keep := math.Exp(-weight / window)
	m.weight = keep*m.weight + weight
	dx, dy := x-m.meanX, y-m.meanY
	share := weight / m.weight
	m.meanX += share * dx
	m.meanY += share * dy
	m.sumXX = keep*m.sumXX + weight*dx*(x-m.meanX)
	m.sumXY = keep*m.sumXY + weight*dx*(y-m.meanY)
	m.sumYY = keep*m.sumYY + weight*dy*(y-m.meanY)
}

// line is the expected logarithm of the run time, given that of the estimate.
type line struct {
	// offset is the value at centre.
	centre, offset, slope float64
	// reach is the distance from centre up to which the slope holds.
	reach float64
	// spread is the standard deviation of run times around the line.
	spread float64
}

// estimateLine takes the estimate for the run time.
var estimateLine = line{slope: 1, reach: math.Inf(1), spread: priorSpread}

// at returns the value of the line. Beyond its reach, it follows the estimate.
func (l line) at(x float64) float64 {
	d := x - l.centre
	within := max(-l.reach, min(l.reach, d))
	return l.offset + l.slope*within + (d - within)
}

// line returns the line through the moments, shrunk towards another one that weighs as much
// as a number of runs.
func (m *moments) line(prior line, weight float64) line {
	total := m.weight + weight
	before := prior.at(m.meanX)
	shift := m.meanY - before
	// The slope of run times given estimates is between 0, if estimates tell nothing, and 1.
	slope := prior.slope + (m.sumXY-prior.slope*m.sumXX)/(m.sumXX+weight*priorVariance)
	slope = max(0, min(1, slope))
	offset := before + shift*m.weight/total
	left := m.meanY - offset
	residual := m.sumYY - 2*slope*m.sumXY + slope*slope*m.sumXX + m.weight*left*left
	variance := (max(0, residual) + weight*prior.spread*prior.spread) / total
	return line{
		centre: m.meanX, offset: offset, slope: slope,
		reach:  lineReach * math.Sqrt((m.sumXX+weight*priorVariance)/total),
		spread: math.Sqrt(variance * (1 + 1/total)),
	}
}
