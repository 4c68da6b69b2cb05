package org.lavenderstage.entry.task;

/**
 * The identifier and the outcome of a job submission.
 *
 * @param job the identifier of the job
 * @param outcome the outcome of proposing the job
 */
public record Submission(String job, ProposalOutcome outcome) {}
