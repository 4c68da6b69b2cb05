/** Jobs with their steps and tasks: submissions, progress, runs and stored records. */
package org.lavenderstage.core.job;
