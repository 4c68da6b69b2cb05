package org.lavenderstage.entry.task;

/**
 * A submitted job.
 *
 * @param job identifier of the job
 * @param fate what became of it
 */
public record Submission(String job, JobFate fate) {}
