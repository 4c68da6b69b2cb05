/** The fake executor. */
package org.lavenderstage.standin.executor;
