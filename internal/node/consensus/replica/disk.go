package replica

import "linenwheel.dev/linenwheel/internal/node/consensus/member"

// diskJob is a job for the disk goroutine: a write, or an image to encode and save.
type diskJob struct {
	write member.Write
	image *member.Image // nil = a write
}

// queueForDisk queues work for the disk goroutine. Jobs that do not fit into the channel stay in diskQueue until
// the next flush: the owner must not wait for the disk goroutine, which in turn waits for the owner when it
// reports a write.
func (r *Replica) queueForDisk(work member.Work) {
	for _, w := range work.Write {
		r.diskQueue = append(r.diskQueue, diskJob{write: w})
	}
	if work.Image != nil {
		r.imageCount++
		r.diskQueue = append(r.diskQueue, diskJob{image: work.Image})
	}
	for len(r.diskQueue) > 0 {
		select {
		case r.disk <- r.diskQueue[0]:
			r.diskQueue = r.diskQueue[1:]
		default:
			return
		}
	}
}

// runDisk carries out the jobs for the disk in order, until the channel is closed.
func (r *Replica) runDisk() error {
	for first := range r.disk {
		writes, image := r.nextBatch(first)
		if len(writes) > 0 {
			if err := r.write(writes); err != nil {
				return err
			}
		}
		if image != nil {
			if err := r.saveImage(image); err != nil {
				return err
			}
		}
	}
	return nil
}

// nextBatch returns the queued writes up to the next image, so that they share one sync.
func (r *Replica) nextBatch(first diskJob) (writes []member.Write, image *member.Image) {
	if first.image != nil {
		return nil, first.image
	}
	writes = append(writes, first.write)
	for len(r.disk) > 0 && len(writes) < maxBatch {
		next, ok := <-r.disk
		switch {
		case !ok:
			return writes, nil
		case next.image != nil:
			return writes, next.image
		}
		writes = append(writes, next.write)
	}
	return writes, nil
}

// write makes writes durable, and only then causes their acknowledgements to be sent.
func (r *Replica) write(writes []member.Write) error {
	if err := r.store.Write(writes); err != nil {
		return err
	}
	r.writes.Add(1)
	r.lastDurable.Store(r.store.Saved().LastIndex())
	r.submit(func() {
		for _, w := range writes {
			if err := r.member.Persisted(w); err != nil {
				r.log.Error("cannot complete a durable write", "error", err)
			}
			r.send(w.Acknowledgements(r.store.ID))
		}
	})
	return nil
}

func (r *Replica) saveImage(image *member.Image) error {
	snapshot, err := image.Encode()
	if err != nil {
		return err
	}
	if err := r.store.SaveImage(snapshot, r.settings.Trail); err != nil {
		return err
	}
	r.submit(func() { r.member.ImageSaved(snapshot) })
	return nil
}
