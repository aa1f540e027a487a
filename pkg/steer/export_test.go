package steer

// Yield exposes the decision about flexible requests to tests.
func Yield(w *Snapshot, req *Request, here Survey, regions []RemoteRegion) *RemoteRegion {
	return w.yield(req, &here, regions)
}
