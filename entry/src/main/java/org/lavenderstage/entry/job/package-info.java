/** The entry process on the users' platform: requests of callers, ownership of jobs, election. */
package org.lavenderstage.entry.job;
