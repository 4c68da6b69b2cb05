package org.lavenderstage.entry.job;

import java.util.Optional;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobVerb;

/**
 * A caller's request to a known queue.
 *
 * @param request identifier of the request in the logs
 * @param verb the requested operation
 * @param queue name of the queue
 * @param job identifier of the job, empty for a request about the queue itself
 * @param submission the submitted job, empty unless the request is a submission
 * @param answerByMillis monotonic time in milliseconds by which the caller is answered
 */
record JobCall(
    String request,
    JobVerb verb,
    String queue,
    String job,
    Optional<JobRecord> submission,
    long answerByMillis) {}
