package org.lavenderstage.entry.job;

import java.util.Optional;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobVerb;

/**
 * A caller's request that has found its queue.
 *
 * @param request identifier of the request in the logs
 * @param verb what it asks for
 * @param queue name of the queue
 * @param job identifier of the job, empty for the queue itself
 * @param submission the job, for a submission
 * @param answerByMillis steady time by which the caller is told what is known
 */
record JobCall(
    String request,
    JobVerb verb,
    String queue,
    String job,
    Optional<JobRecord> submission,
    long answerByMillis) {}
